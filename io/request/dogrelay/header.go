package dogrelay

import (
	"fmt"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"dogwoodford/core/request/dogcall"
	"dogwoodford/core/version/dogtable"
)

// Headers between nodes, in canonical form. The headers of answers are those
// of dogcall.Answer and headerRetryMs.
const (
	headerService  = dogcall.Prefix + "Service"
	headerKind     = dogcall.Prefix + "Kind"
	headerPriority = dogcall.Prefix + "Priority"
	headerCaller   = dogcall.Prefix + "Caller"
	headerLeft     = dogcall.Prefix + "Left-Ms"
	headerAttempt  = dogcall.Prefix + "Target-Attempt"
	headerConfig   = dogcall.Prefix + "Config"
	headerPeer     = dogcall.Prefix + "Peer"
	headerRetryMs  = dogcall.Prefix + "Retry-Ms"
)

// errPeerHeader is the root of errors about the headers between nodes.
var errPeerHeader = eris.New("bad header of another node")

// connectionHeaders concern one connection only and are never passed on.
var connectionHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true,
	"Upgrade": true, "Expect": true, "Content-Length": true,
}

// endToEnd returns the headers that concern both ends, without those of one
// connection and those between nodes.
func endToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h)+8)
	named := namedByConnection(h)
	for k, v := range h {
		if connectionHeaders[k] || dogcall.IsOwn(k) || named[k] {
			continue
		}
		out[k] = v
	}
	return out
}

// namedByConnection returns the headers that the Connection header declares to
// concern one connection; nil if there are none.
func namedByConnection(h http.Header) map[string]bool {
	var named map[string]bool
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			name = textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))
			if name == "" || name == "Close" || name == "Keep-Alive" {
				continue
			}
			if named == nil {
				named = make(map[string]bool)
			}
			named[name] = true
		}
	}
	return named
}

// formatCall writes what the guard needs to know of c.
func (h *Handlers) formatCall(out http.Header, c *call, now time.Time) {
	out[headerService] = []string{c.service}
	out[headerKind] = []string{strconv.Itoa(int(c.kind))}
	out[headerPriority] = []string{strconv.Itoa(c.priority)}
	out[headerCaller] = []string{c.caller}
	out[headerLeft] = []string{strconv.FormatInt(c.left(now), 10)}
	out[headerAttempt] = []string{strconv.Itoa(c.attempt)}
	out[headerConfig] = []string{strconv.FormatInt(h.cfg.Tables.Version(), 10)}
	out[headerPeer] = []string{h.cfg.Peer}
}

// parseCall reads what the entry said of a request.
func (h *Handlers) parseCall(r *http.Request, now time.Time) (*call, error) {
	c := &call{
		id: r.Header.Get(h.cfg.Headers.Attempt), service: r.Header.Get(headerService),
		caller: r.Header.Get(headerCaller), source: r,
	}
	for _, f := range []struct {
		name string
		into func(int64)
	}{
		{headerKind, func(n int64) { c.kind = dogtable.Kind(n) }},
		{headerPriority, func(n int64) { c.priority = int(n) }},
		{headerLeft, func(n int64) { c.deadline = now.Add(time.Duration(n) * time.Millisecond) }},
		{headerAttempt, func(n int64) { c.attempt = int(n) }},
		{headerConfig, func(n int64) { h.cfg.Fleet.ConfigSeen(n, r.Header.Get(headerPeer)) }},
	} {
		n, err := strconv.ParseInt(r.Header.Get(f.name), 10, 64)
		if err != nil || n < 0 {
			return nil, fmt.Errorf("%s %q: %w", f.name, r.Header.Get(f.name), errPeerHeader)
		}
		f.into(n)
	}
	return c, nil
}

// IsCall reports whether r carries the request of a caller. Other requests of
// nodes are about the nodes themselves.
func IsCall(r *http.Request) bool { return r.Header.Get(headerService) != "" }
