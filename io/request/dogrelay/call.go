package dogrelay

import (
	"context"
	"net/http"
	"time"

	"dogwoodford"
	"dogwoodford/core/request/dogdigest"
	"dogwoodford/core/version/dogtable"
)

// call is one request on its way to a target.
type call struct {
	id       string // Id of the caller's attempt.
	service  string
	caller   string // Service beside which the request began.
	kind     dogtable.Kind
	lineage  lineage
	attempt  int // Number of the target that the request is sent to, from 1.
	deadline time.Time
	source   *http.Request // Method, URL, host and headers of the caller.
	body     *body
	// digest is that of the content: caller, method, path and the start of the
	// body. It is 0 if the content is known not to crash targets.
	digest uint64
}

// request returns the call as the decisions on admission and routing see it.
func (c *call) request() dogwoodford.Request {
	return dogwoodford.NewRequest(dogwoodford.RequestSpec{
		ID: c.id, Root: c.lineage.root, Service: c.service, Class: c.lineage.class, Hop: c.lineage.hop,
		Importance: max(0, dogwoodford.MaxImportance-c.lineage.priority),
		Idempotent: c.kind == dogtable.Idempotent,
		Deadline:   c.deadline, Attempt: c.attempt, ContentSize: c.body.length,
	})
}

// outgoing returns the request to the process at addr, with the headers of the
// caller but those of one connection only.
func (c *call) outgoing(ctx context.Context, addr string) *http.Request {
	u := *c.source.URL
	u.Scheme, u.Host = "http", addr
	out := &http.Request{
		Method: c.source.Method, URL: &u, Host: c.source.Host,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: endToEnd(c.source.Header),
	}
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header["User-Agent"] = nil // net/http would add its own.
	}
	c.body.attach(out)
	return out.WithContext(ctx)
}

// positive keeps the bits of a digest that fit a number between nodes.
const positive = 1<<63 - 1

// digestOf returns the digest of the content of a request.
func digestOf(caller string, r *http.Request, b *body) uint64 {
	d := dogdigest.New("", caller, r.Method, r.URL.RequestURI())
	_, _ = d.Write(b.kept) // Never fails.
	return d.Sum64() & positive
}

// left returns the milliseconds until the deadline, at least 0.
func (c *call) left(now time.Time) int64 { return max(0, c.deadline.Sub(now).Milliseconds()) }
