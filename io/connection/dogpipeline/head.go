package dogpipeline

import (
	"errors"
	"fmt"
	"io"
	"net/http"
)

// readRequest waits for the next request and reads its head. turn is closed when all
// earlier responses have been written.
func (c *conn) readRequest(turn chan struct{}) (*response, error) {
	if !c.awaitRequest() {
		return nil, errClosed
	}
	if err := c.peek(); err != nil {
		return nil, fmt.Errorf("%w: %w", errDeparted, err)
	}
	if !c.beginRequest() {
		return nil, errClosed
	}
	arrived := c.src.last
	req, held, err := c.readHead()
	if err != nil && errors.Is(err, errHeadExpired) {
		return nil, err
	}
	if err != nil && c.src.err != nil {
		// The parser may report a line that was cut off as malformed.
		return nil, fmt.Errorf("%w: %w", errDeparted, c.src.err)
	}
	if err != nil {
		return nil, fmt.Errorf("read request: %w", err)
	}
	if req.Host == "" && req.ProtoAtLeast(1, 1) {
		c.srv.Budget.endRequest(c, held)
		return nil, errNoHost
	}
	if !c.served {
		c.served = true
		c.srv.markServed(c)
	}
	resp := c.newResponse(req, turn, arrived)
	resp.held = held
	return resp, nil
}

// readHead reads the head of a request, of which the first byte is there, within its
// bounds. held is what the request holds of the budget.
func (c *conn) readHead() (req *http.Request, held int64, err error) {
	c.src.inHead, c.src.allowed, c.cost = true, c.srv.limits().HeadBytes, 0
	ahead, _ := c.br.Peek(c.br.Buffered()) // These bytes are there.
	if !c.growHead(ahead) {
		err = errHeadTooCostly
	}
	if err == nil {
		err = c.skipEmptyLines()
	}
	if err == nil {
		req, err = http.ReadRequest(c.br)
	}
	c.src.inHead = false
	if err == nil && c.cost > freeHeadBytes {
		held = headCost(req)
	}
	if c.cost > freeHeadBytes {
		held = c.srv.Budget.endHead(c, held)
	}
	if why := c.endHead(); why != "" && err != nil {
		c.srv.reject(why)
		return nil, 0, errHeadExpired
	}
	return req, held, err
}

// growHead reports whether the head that is read may grow by p.
func (c *conn) growHead(p []byte) bool {
	c.cost += costOf(p)
	return c.cost <= freeHeadBytes || c.srv.Budget.grow(c, c.cost-freeHeadBytes, c.srv.limits().HeadBytes)
}

// skipEmptyLines drops the empty lines before a request, which RFC 9112 (section 2.2)
// recommends.
func (c *conn) skipEmptyLines() error {
	for {
		b, err := c.br.Peek(1)
		if err != nil {
			return fmt.Errorf("before request: %w", err)
		}
		if b[0] != '\r' && b[0] != '\n' {
			return nil
		}
		_, _ = c.br.Discard(1) // This byte is there.
	}
}

var (
	// errDeparted means that the client has closed the connection, or that it was idle
	// for too long.
	errDeparted = errors.New("no further request")
	errNoHost   = errors.New("request without Host")
	// errHeadExpired means that the head did not end in time, or while its memory was
	// needed. Nothing of the request was passed on.
	errHeadExpired = errors.New("request head given up")
)

// endReading ends the reading side after err. A request that could not be read is
// answered in its turn.
func (c *conn) endReading(err error, turn chan struct{}) {
	c.mu.Lock()
	wasClosed, departed := c.closed, errors.Is(err, errDeparted)
	c.closed, c.reading = true, false
	if !departed && !wasClosed {
		c.inFlight++ // The response below, so that no earlier one counts as the last.
	}
	c.mu.Unlock()
	switch {
	case wasClosed:
		c.awaitLast()
		return
	case departed:
		c.cancel() // Nobody waits for the responses, or no request will follow.
		return
	}
	status := "400 Bad Request"
	switch {
	case errors.Is(err, errHeadTooLong), errors.Is(err, errHeadTooCostly):
		status = "431 Request Header Fields Too Large"
		c.srv.reject(ReasonHeadTooLong)
	case errors.Is(err, errHeadExpired):
		status = "408 Request Timeout"
	default:
		c.srv.reject(ReasonMalformed)
	}
	<-turn
	_, _ = io.WriteString(c.out, "HTTP/1.1 "+status+"\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	_ = c.out.Flush() // The client learns the same from the end of the connection.
}
