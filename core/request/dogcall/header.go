package dogcall

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Header is the form of http.Header, whose keys are canonical.
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
	// MaxHop is far above the deepest known call tree (8), and ends cycles of
	// calls between services.
	MaxHop   = 64
	maxName  = 128
	maxCount = 1 << 30
)

// ErrHeader is the root of all errors about headers.
var ErrHeader = eris.New("bad header")

func headerError(name, problem string) error {
	return fmt.Errorf("header %s: %s: %w", name, problem, ErrHeader)
}

// one returns the only value of a header, empty if the header is absent.
func one(h Header, name string) (string, error) {
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

func number(name, s string, low, high int64) (int64, error) {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil || strconv.FormatInt(n, 10) != s {
		return 0, headerError(name, "is not a decimal number")
	}
	if n < low || n > high {
		return 0, headerError(name, fmt.Sprintf("is outside [%d, %d]", low, high))
	}
	return n, nil
}

// token accepts the characters of customer, class and service names, root ids
// and request tokens.
func token(name, s string) (string, error) {
	if len(s) > maxName {
		return "", headerError(name, fmt.Sprintf("is longer than %d bytes", maxName))
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

// reader collects the first error of a sequence of headers.
type reader struct {
	h   Header
	err error
}

func (r *reader) text(name string, required bool) string {
	if r.err != nil {
		return ""
	}
	s, err := one(r.h, name)
	if err == nil && s == "" && required {
		err = headerError(name, "is missing")
	}
	r.err = err
	return s
}

func (r *reader) token(name string, required bool) string {
	s := r.text(name, required)
	if r.err == nil {
		s, r.err = token(name, s)
	}
	return s
}

// number returns absent if the header is not there and not required.
func (r *reader) number(name string, low, high, absent int64, required bool) int64 {
	s := r.text(name, required)
	if r.err != nil || s == "" {
		return absent
	}
	var n int64
	n, r.err = number(name, s, low, high)
	return n
}

// traceparent returns the W3C trace context of version 00. As that
// specification demands, a malformed value is dropped and is no error.
func (r *reader) traceparent() string {
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
