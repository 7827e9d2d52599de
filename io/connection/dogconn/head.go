package dogconn

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// maxHeadBytes bounds the status line and headers of a response, together with those
// of the informational responses before it.
const maxHeadBytes = 64 << 10

// errHeadTooLong means that a response has more than maxHeadBytes before its body.
var errHeadTooLong = errors.New("response head too long")

// errMalformed means that a response is not valid HTTP/1.1.
var errMalformed = errors.New("malformed response")

// headReader bounds the bytes that are read while the head of a response is read, as a
// faulty server may never end it, and rejects lines that package net/http lets pass without
// a trace, so that a field that ends or encodes the body may go unnoticed.
type headReader struct {
	r       io.Reader
	inHead  bool
	allowed int // Bytes that may still be read in the head.

	lines int    // Lines of the head before the current one.
	line  []byte // The current line so far.
	old   bool   // The head is one of HTTP/1.0.
	ended bool   // The empty line at the end of the head was read.
}

// start begins the head of a response.
func (h *headReader) start() {
	h.inHead, h.allowed = true, maxHeadBytes
	h.startLines()
}

// next begins the head that follows that of an informational response, of which buffered
// has been read already.
func (h *headReader) next(buffered []byte) error {
	h.startLines()
	return h.checkLines(buffered)
}

func (h *headReader) startLines() { h.lines, h.line, h.ended = 0, h.line[:0], false }

// end ends the head; what follows is not bounded.
func (h *headReader) end() { h.inHead = false }

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (int, error) {
	if !h.inHead {
		return h.r.Read(p)
	}
	if h.allowed == 0 {
		return 0, errHeadTooLong
	}
	n, err := h.r.Read(p[:min(len(p), h.allowed)])
	h.allowed -= n
	if err := h.checkLines(p[:n]); err != nil {
		return 0, err // A reader with a buffer would use the bytes before it returns the error.
	}
	return n, err
}

// checkLines returns an error if the head has a line that is rejected. p is the part of the
// response that follows those of earlier calls.
func (h *headReader) checkLines(p []byte) error {
	for !h.ended && len(p) > 0 {
		part, rest, whole := bytes.Cut(p, []byte("\n"))
		h.line = append(h.line, part...)
		if whole {
			if err := h.checkLine(bytes.TrimSuffix(h.line, []byte("\r"))); err != nil {
				return err
			}
			h.lines++
			h.line = h.line[:0]
		}
		p = rest
	}
	return nil
}

// checkLine returns an error if a line of the head begins with a blank, which package
// net/http takes for the rest of the line before, or declares an encoding that HTTP/1.0 does
// not know, which it drops.
func (h *headReader) checkLine(line []byte) error {
	if len(line) == 0 {
		h.ended = true
		return nil
	}
	if line[0] == ' ' || line[0] == '\t' {
		return fmt.Errorf("blank before the name of a field: %w", errMalformed)
	}
	if h.lines == 0 {
		h.old = bytes.HasPrefix(line, []byte("HTTP/1.0"))
		return nil
	}
	name, _, _ := bytes.Cut(line, []byte(":"))
	if h.old && bytes.EqualFold(name, []byte("Transfer-Encoding")) {
		return fmt.Errorf("transfer encoding in HTTP/1.0: %w", errMalformed)
	}
	return nil
}

// maxStatus is the highest status code of HTTP.
const maxStatus = 599

// checkHead returns an error if resp is not valid HTTP/1, as far as package net/http lets it
// pass. Calls ask for no upgrade.
func checkHead(resp *http.Response) error {
	if resp.ProtoMajor != 1 {
		return fmt.Errorf("version %s: %w", resp.Proto, errMalformed)
	}
	if s := resp.StatusCode; s < http.StatusContinue || s > maxStatus || s == http.StatusSwitchingProtocols {
		return fmt.Errorf("status %03d: %w", s, errMalformed)
	}
	return checkNames(resp.Header)
}

// checkNames returns an error if the name of a field is not valid. Package net/http lets
// blanks pass, so that a field that ends or encodes the body may go unnoticed.
func checkNames(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("field name %q: %w", name, errMalformed)
		}
	}
	return nil
}
