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

// call is a call that is to be sent to a target.
type call struct {
	x           *exchange
	spec        dogwoodford.RequestSpec
	method      string
	host        string
	url         *url.URL    // Path without the service, and query.
	header      http.Header // As received; not modified.
	body        *body
	traceparent string
	role        Role
	epoch       int64
	// fresh is whether no earlier attempt with the key can have run.
	fresh bool
	// generated is whether the key was generated here.
	generated bool
}

func newCall(x *exchange, u *url.URL) *call {
	return &call{
		x: x, method: x.r.Method, host: x.r.Host, url: u, header: x.r.Header,
		body: x.body, traceparent: x.traceparent, role: x.role,
	}
}

// splitPath splits the request target into the service and the rest.
func splitPath(u *url.URL) (string, *url.URL, error) {
	service, rest, ok := strings.Cut(strings.TrimPrefix(u.EscapedPath(), "/"), "/")
	if !ok || service == "" || !strings.HasPrefix(u.Path, "/") {
		return "", nil, fmt.Errorf("split path: %w", errPath)
	}
	path, err := url.PathUnescape("/" + rest)
	if err != nil {
		return "", nil, fmt.Errorf("split path: %w", err)
	}
	// A target may resolve dot segments, and so run another class than the one
	// that the path was matched with.
	for s := range strings.SplitSeq(path, "/") {
		if s == "." || s == ".." {
			return "", nil, fmt.Errorf("dot segment: %w", errPath)
		}
	}
	out := &url.URL{Path: path, RawPath: "/" + rest, RawQuery: u.RawQuery, ForceQuery: u.ForceQuery}
	return service, out, nil
}

// Numbers of headers that a node adds to a request without a key. A map with
// more room than needed costs a kilobyte per hop.
const (
	extraPeerHeaders   = 11
	extraTargetHeaders = 6
)

// forwardedHeader returns a new map of the request headers that are forwarded,
// with room for added more. Hop-by-hop headers, the credential and the headers
// of this system are left out.
func forwardedHeader(in http.Header, added int) http.Header {
	listed := connectionHeaders(in)
	n := 0
	for k := range in {
		if isForwarded(k, listed) {
			n++
		}
	}
	out := make(http.Header, n+added)
	for k, v := range in {
		if isForwarded(k, listed) {
			out[k] = v
		}
	}
	return out
}

// isForwarded reports whether a request header is forwarded. listed holds the
// headers that the Connection header names.
func isForwarded(name string, listed []string) bool {
	switch name {
	case "Authorization", "Traceparent", "Idempotency-Key", "X-Idempotency-Key":
		return false
	}
	return isEndToEnd(name, listed)
}

// removeUnforwarded removes the headers of an answer that are not forwarded. It
// changes and returns in.
func removeUnforwarded(in http.Header) http.Header {
	listed := connectionHeaders(in)
	for k := range in {
		if !isEndToEnd(k, listed) {
			delete(in, k)
		}
	}
	return in
}

// connectionHeaders returns the canonical names that the Connection header
// lists.
func connectionHeaders(in http.Header) []string {
	var listed []string
	for _, v := range in["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			listed = append(listed, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	return listed
}

// isEndToEnd reports whether a header is meant for more than one connection and
// is not reserved for this system.
func isEndToEnd(name string, listed []string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length":
		return false
	}
	return !dogcall.IsReservedHeader(name) && !slices.Contains(listed, name)
}

// request returns the HTTP request that sends the call to addr. service is
// empty if addr is the target, whose path has no service.
func (c *call) request(ctx context.Context, addr, service string) (*http.Request, error) {
	u := *c.url
	u.Scheme, u.Host = "http", addr
	added := extraTargetHeaders
	if service != "" {
		added = extraPeerHeaders
		u.Path, u.RawPath = "/"+service+u.Path, "/"+service+u.RawPath
	}
	header := forwardedHeader(c.header, added)
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil // Prevents net/http from adding its own.
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

// readPrefix reads the start of the body and sets the digest.
func (c *call) readPrefix() error {
	target := c.url.RequestURI()
	d := dogdigest.New(c.spec.Customer, c.spec.Service, c.method, target)
	if err := c.body.readPrefix(d); err != nil {
		return fmt.Errorf("read start of body: %w", err)
	}
	c.spec.Digest = d.Sum64()
	c.spec.ContentSize = c.body.length
	return nil
}

// refuse returns a refusal before dispatch. The outcome is unknown if an
// earlier attempt of the key may have run, because "not run" could be false.
func (c *call) refuse(reason dogwoodford.Reason, retryAfter time.Duration) *answer {
	o := dogwoodford.OutcomeNotRun
	if !c.spec.Key.IsZero() && !c.fresh {
		o = dogwoodford.OutcomeUnknown
	}
	return refusal(o, reason, retryAfter)
}

// newToken returns an unguessable request identifier.
func newToken() string { return rand.Text() }

// generateKey returns a new key in a range that has an owner, or a key in any
// range if no such range is found.
func generateKey(snap Snapshot, service string, now time.Time) dogwoodford.Key {
	// If one range of eight has an owner, 32 draws miss it with a probability
	// of 1/70.
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

// route sends a call that passed all checks at an entry or exit: an idempotent
// one to a guard, any other to the owner of its key.
func (h *Handlers) route(ctx context.Context, snap Snapshot, c *call, ledger *dogretry.Ledger) *answer {
	if c.spec.Idempotent {
		return h.sendWithRetries(ctx, snap, c, ledger, "")
	}
	return h.routeToOwner(ctx, snap, c, ledger)
}
