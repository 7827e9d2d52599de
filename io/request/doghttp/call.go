package doghttp

import (
	"context"
	"crypto/rand"
	"fmt"
	mathrand "math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"dogwoodford"
	"dogwoodford/core/request/dogcall"
	"dogwoodford/core/request/dogdigest"
	"dogwoodford/core/request/dogretry"
)

var errPath = eris.New("path is not of the form /<service>/<rest>")

// call is one call on its way to a target.
type call struct {
	x           *exchange
	spec        dogwoodford.RequestSpec
	method      string
	host        string
	url         *url.URL    // Path without the service, and query.
	header      http.Header // As received; not changed.
	body        *body
	traceparent string
	role        Role
	epoch       int64
	// fresh is whether no earlier attempt of the key can have run.
	fresh bool
	// minted is whether the key was made here.
	minted bool
}

func newCall(x *exchange, u *url.URL) *call {
	return &call{
		x: x, method: x.r.Method, host: x.r.Host, url: u, header: x.r.Header,
		body: x.body, traceparent: x.traceparent, role: x.role,
	}
}

// splitPath returns the service and the rest of the request target.
func splitPath(u *url.URL) (string, *url.URL, error) {
	service, rest, ok := strings.Cut(strings.TrimPrefix(u.EscapedPath(), "/"), "/")
	if !ok || service == "" || !strings.HasPrefix(u.Path, "/") {
		return "", nil, fmt.Errorf("split path: %w", errPath)
	}
	path, err := url.PathUnescape("/" + rest)
	if err != nil {
		return "", nil, fmt.Errorf("split path: %w", err)
	}
	// A target may resolve dot segments, and so run another class than the
	// one that the path was matched with.
	for s := range strings.SplitSeq(path, "/") {
		if s == "." || s == ".." {
			return "", nil, fmt.Errorf("dot segment: %w", errPath)
		}
	}
	out := &url.URL{Path: path, RawPath: "/" + rest, RawQuery: u.RawQuery, ForceQuery: u.ForceQuery}
	return service, out, nil
}

// Numbers of headers that a node adds to a request without a key. A map for
// more than needed costs a kilobyte a hop.
const (
	addedToPeer   = 11
	addedToTarget = 6
)

// forwarded returns a new map of the headers of a request that are passed on:
// neither those of one connection only, nor the credential, nor our own. There
// is room for added more.
func forwarded(in http.Header, added int) http.Header {
	listed := connectionHeaders(in)
	n := 0
	for k := range in {
		if forwards(k, listed) {
			n++
		}
	}
	out := make(http.Header, n+added)
	for k, v := range in {
		if forwards(k, listed) {
			out[k] = v
		}
	}
	return out
}

// forwards reports whether a header of a request is passed on.
func forwards(name string, listed []string) bool {
	switch name {
	case "Authorization", "Traceparent", "Idempotency-Key", "X-Idempotency-Key":
		return false
	}
	return passes(name, listed)
}

// answerHeader removes the headers of an answer that are not passed on.
func answerHeader(in http.Header) http.Header {
	listed := connectionHeaders(in)
	for k := range in {
		if !passes(k, listed) {
			delete(in, k)
		}
	}
	return in
}

// connectionHeaders returns the headers that the Connection header names.
func connectionHeaders(in http.Header) []string {
	var listed []string
	for _, v := range in["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			listed = append(listed, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	return listed
}

// passes reports whether a header is meant for more than one connection and is
// not our own.
func passes(name string, listed []string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length":
		return false
	}
	return !dogcall.IsReservedHeader(name) && !slices.Contains(listed, name)
}

// request returns the HTTP request of the call to addr.
func (c *call) request(ctx context.Context, addr, service string) (*http.Request, error) {
	u := *c.url
	u.Scheme, u.Host = "http", addr
	added := addedToTarget
	if service != "" {
		added = addedToPeer
		u.Path, u.RawPath = "/"+service+u.Path, "/"+service+u.RawPath
	}
	header := forwarded(c.header, added)
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil // Keeps net/http from adding its own.
	}
	out := (&http.Request{
		Method: c.method, URL: &u, Host: c.host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}).WithContext(ctx)
	if err := c.body.attach(out); err != nil {
		return nil, err
	}
	return out, nil
}

// fill reads the start of the body and sets the digest.
func (c *call) fill() error {
	target := c.url.RequestURI()
	d := dogdigest.New(c.spec.Customer, c.spec.Service, c.method, target)
	if err := c.body.fill(d); err != nil {
		return fmt.Errorf("fill: %w", err)
	}
	c.spec.Digest = d.Sum64()
	c.spec.ContentSize = c.body.length
	return nil
}

// refuse is a refusal before dispatch. A call whose key may have run before is
// answered unknown, as "not run" would be false for it.
func (c *call) refuse(reason dogwoodford.Reason, retryAfter time.Duration) *answer {
	o := dogwoodford.NotRun
	if !c.spec.Key.IsZero() && !c.fresh {
		o = dogwoodford.Unknown
	}
	return refusal(o, reason, retryAfter)
}

// newToken returns an unguessable name.
func newToken() string { return rand.Text() }

// mint returns a new key in a range that has an owner, or a key of any range
// if none of them is found to have one.
func mint(snap Snapshot, service string, now time.Time) dogwoodford.Key {
	// 32 draws miss one range of eight that has an owner once in 70 times.
	const draws = 32
	var k dogwoodford.Key
	for range draws {
		k = dogwoodford.MakeKey(now, mathrand.Uint64(), mathrand.Uint64())
		if _, ok := snap.Owner(service, k, nil); ok {
			break
		}
	}
	return k
}

// route sends a call that passed all checks at an entry or exit.
func (h *Handlers) route(ctx context.Context, snap Snapshot, c *call, ledger *dogretry.Ledger) *answer {
	if c.spec.Idempotent {
		return h.attempts(ctx, snap, c, ledger, "")
	}
	return h.toOwner(ctx, snap, c, ledger)
}
