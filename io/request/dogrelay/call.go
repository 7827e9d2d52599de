package dogrelay

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"dogwoodford"
	"dogwoodford/core/process/dogcrash"
	"dogwoodford/core/request/dogdigest"
	"dogwoodford/core/version/dogtable"
)

// call is one request that is forwarded to a target.
type call struct {
	id       string // ID of the caller's attempt.
	service  string
	caller   string // Service of the local target of the entry.
	kind     dogtable.Kind
	lineage  lineage
	attempt  int // Number of the target that the request is sent to, from 1.
	deadline time.Time
	source   *http.Request // The request as received: method, URL, host and headers.
	body     *body
	content  dogcrash.Content
	// cleared tells whether guards run the content although it may be quarantined:
	// the entry knows that a target completed it and does not quarantine it.
	cleared bool
	// tester is the only node that the call may be sent to, if not empty: it decides
	// whether to test the content, which is quarantined.
	tester string
	// hidesKeys tells that the configuration has workspaces, so that neither a key nor the
	// name of a workspace that the caller sent is forwarded.
	hidesKeys bool
}

// request returns the description of c for admission and routing.
func (c *call) request() dogwoodford.Request {
	return dogwoodford.NewRequest(dogwoodford.RequestSpec{
		ID: c.id, Root: c.lineage.root, Service: c.service, Class: c.lineage.class, Hop: c.lineage.hop,
		Workspace: c.lineage.workspace, FairRank: c.lineage.fairRank,
		Importance: c.importance(),
		Idempotent: c.kind.Repeatable(),
		Deadline:   c.deadline, Attempt: c.attempt, ContentSize: c.body.length,
	})
}

// importance returns the importance of c; see dogwoodford.Priority.
func (c *call) importance() int { return max(0, dogwoodford.MaxImportance-c.lineage.priority) }

// outgoing returns the request to send to addr. It has the end-to-end headers of
// the caller.
func (c *call) outgoing(ctx context.Context, addr string) *http.Request {
	u := *c.source.URL
	u.Scheme, u.Host = "http", addr
	if path, _, _ := strings.Cut(c.source.RequestURI, "?"); path != u.EscapedPath() && isPlainPath(path) {
		u.Opaque = path // Package url would encode some of its characters.
	}
	out := &http.Request{
		Method: c.source.Method, URL: &u, Host: c.source.Host,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: endToEnd(c.source.Header),
	}
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header["User-Agent"] = nil // Otherwise net/http would add its own.
	}
	c.body.attach(out)
	return out.WithContext(ctx)
}

// isPlainPath reports whether path can be the opaque part of a URL, which would take what
// follows two slashes for a host.
func isPlainPath(path string) bool {
	return strings.HasPrefix(path, "/") && !strings.HasPrefix(path, "//")
}

// digestMask keeps the bits of a digest that fit into a non-negative int64, the
// form of numbers in headerCall.
const digestMask = 1<<63 - 1

// sharedDigest returns the digest of the content of a request without its caller.
// The body counts as far as it is buffered.
func sharedDigest(r *http.Request, b *body) uint64 {
	d := dogdigest.New("", "", r.Method, r.URL.RequestURI())
	_, _ = d.Write(b.buffered) // Write never fails.
	return d.Sum64() & digestMask
}

// contentOf returns the content that a caller sends, by its shared digest.
func contentOf(caller string, shared uint64) dogcrash.Content {
	own := dogdigest.New(caller, "", "", strconv.FormatUint(shared, 16)).Sum64()
	return dogcrash.Content{Shared: shared, Own: own}
}

// remainingMillis returns the milliseconds until the deadline, at least 0.
func (c *call) remainingMillis(now time.Time) int64 {
	return max(0, c.deadline.Sub(now).Milliseconds())
}
