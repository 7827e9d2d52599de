package dogcall

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Header has the underlying type of http.Header. Its keys are in canonical form.
type Header = map[string][]string

// Names of the headers, in canonical form.
const (
	HeaderAuthorization = "Authorization"
	HeaderTraceparent   = "Traceparent"
	HeaderRetryAfter    = "Retry-After"

	Prefix            = "Dogwoodford-"
	HeaderCustomer    = Prefix + "Customer"
	HeaderKey         = Prefix + "Key"
	HeaderDeadline    = Prefix + "Deadline-Ms"
	HeaderAttempt     = Prefix + "Attempt"
	HeaderRequest     = Prefix + "Request"
	HeaderRetries     = Prefix + "Retries"
	HeaderClass       = Prefix + "Class"
	HeaderPeerKey     = Prefix + "Peer-Key"
	HeaderHop         = Prefix + "Hop"
	HeaderRoot        = Prefix + "Root"
	HeaderImportance  = Prefix + "Importance"
	HeaderRange       = Prefix + "Range"
	HeaderEpoch       = Prefix + "Epoch"
	HeaderDigest      = Prefix + "Digest"
	HeaderLoad        = Prefix + "Load"
	HeaderCutoff      = Prefix + "Cutoff"
	HeaderRetriesUsed = Prefix + "Retries-Used"
	HeaderOutcome     = Prefix + "Outcome"
	HeaderReason      = Prefix + "Reason"
)

// Bounds of header values.
const (
	MaxDeadline = 24 * time.Hour
	MaxAttempt  = 1000
	MaxRetries  = 1000
	// MaxHop is far above the depth of the deepest known call tree (8), and
	// terminates cycles of calls between services.
	MaxHop        = 64
	maxTokenBytes = 128
	maxCount      = 1 << 30
)

// ErrHeader is wrapped by all errors about headers.
var ErrHeader = eris.New("bad header")

func headerError(name, problem string) error {
	return fmt.Errorf("header %s: %s: %w", name, problem, ErrHeader)
}

// singleValue returns the value of a header, empty if the header is absent. A
// repeated or empty header is an error.
func singleValue(h Header, name string) (string, error) {
	v := h[name]
	if len(v) == 0 {
		return "", nil
	}
	if len(v) > 1 {
		return "", headerError(name, "occurs more than once")
	}
	if v[0] == "" {
		return "", headerError(name, "is empty")
	}
	return v[0], nil
}

func parseNumber(name, s string, low, high int64) (int64, error) {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil || strconv.FormatInt(n, 10) != s {
		return 0, headerError(name, "is not a decimal number")
	}
	if n < low || n > high {
		return 0, headerError(name, fmt.Sprintf("is outside [%d, %d]", low, high))
	}
	return n, nil
}

// parseToken checks the length of s and that it has only the characters of
// customer, class and service names, root IDs and request tokens.
func parseToken(name, s string) (string, error) {
	if len(s) > maxTokenBytes {
		return "", headerError(name, fmt.Sprintf("is longer than %d bytes", maxTokenBytes))
	}
	for _, c := range []byte(s) {
		switch {
		case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9', strings.IndexByte("._-", c) >= 0:
		default:
			return "", headerError(name, "has a character outside a-z A-Z 0-9 . _ -")
		}
	}
	return s, nil
}

// headerReader parses a sequence of headers. After the first error, which it
// keeps, its methods return no further values.
type headerReader struct {
	h   Header
	err error
}

func (r *headerReader) text(name string, required bool) string {
	if r.err != nil {
		return ""
	}
	s, err := singleValue(r.h, name)
	if err == nil && s == "" && required {
		err = headerError(name, "is missing")
	}
	r.err = err
	return s
}

func (r *headerReader) parseToken(name string, required bool) string {
	s := r.text(name, required)
	if r.err == nil {
		s, r.err = parseToken(name, s)
	}
	return s
}

// parseNumber returns the value absent if an optional header is missing.
func (r *headerReader) parseNumber(name string, low, high, absent int64, required bool) int64 {
	s := r.text(name, required)
	if r.err != nil || s == "" {
		return absent
	}
	var n int64
	n, r.err = parseNumber(name, s, low, high)
	return n
}

// traceparent returns the traceparent of version 00 of the W3C Trace Context.
// As that specification requires, a malformed value is ignored without an error.
func (r *headerReader) traceparent() string {
	v := r.h[HeaderTraceparent]
	if len(v) != 1 || !ValidTraceparent(v[0]) {
		return ""
	}
	return v[0]
}

// ValidTraceparent reports whether s is a W3C traceparent of version 00.
func ValidTraceparent(s string) bool {
	if len(s) != 55 || s[:3] != "00-" || s[35] != '-' || s[52] != '-' {
		return false
	}
	for _, part := range []string{s[3:35], s[36:52], s[53:]} {
		if strings.Trim(part, "0123456789abcdef") != "" {
			return false
		}
	}
	return strings.Trim(s[3:35], "0") != "" && strings.Trim(s[36:52], "0") != ""
}
