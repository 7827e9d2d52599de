package dogrelay

import (
	"fmt"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"dogwoodford"
	"dogwoodford/core/request/dogcall"
	"dogwoodford/core/version/dogtable"
)

// Headers between nodes, in canonical form. Each carries several fields, as
// names of headers would be most of the bytes between data centres.
const (
	headerCall   = dogcall.Prefix + "Call"
	headerAnswer = dogcall.Prefix + "Answer"
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

// IsCall reports whether r carries the request of a caller. Other requests of
// nodes are about the nodes themselves.
func IsCall(r *http.Request) bool { return r.Header.Get(headerCall) != "" }

// Fields of headerCall, separated by spaces. The last three are texts.
const callFields = 11

// formatCall writes what the guard needs to know of c.
func (h *Handlers) formatCall(out http.Header, c *call, now time.Time) {
	repeated := 0
	if c.lineage.repeated {
		repeated = 1
	}
	out[headerCall] = []string{fmt.Sprintf("%d %d %d %d %d %d %d %s %s %s %s", h.cfg.Tables.Version(), int(c.kind),
		c.left(now), c.attempt, c.lineage.priority, c.lineage.hop, repeated, c.lineage.class, h.cfg.Peer, c.service,
		c.caller)}
}

// parseCall reads what the entry said of a request.
func (h *Handlers) parseCall(r *http.Request, now time.Time) (*call, error) {
	text := r.Header.Get(headerCall)
	f := strings.Split(text, " ")
	if len(f) != callFields {
		return nil, fmt.Errorf("%s %q: %w", headerCall, text, errPeerHeader)
	}
	var n [7]int64
	for i := range n {
		var err error
		if n[i], err = strconv.ParseInt(f[i], 10, 64); err != nil || n[i] < 0 {
			return nil, fmt.Errorf("%s %q: %w", headerCall, text, errPeerHeader)
		}
	}
	id := r.Header.Get(h.cfg.Headers.Attempt)
	h.cfg.Fleet.ConfigSeen(n[0], f[8])
	root, _, _ := strings.Cut(id, idSeparator)
	return &call{
		id: id, service: f[9], caller: f[10], kind: dogtable.Kind(n[1]),
		deadline: now.Add(time.Duration(n[2]) * time.Millisecond), attempt: int(n[3]), source: r,
		lineage: lineage{root: root, class: f[7], priority: int(n[4]), hop: int(n[5]), repeated: n[6] > 0},
	}, nil
}

// answerFields is the number of fields of headerAnswer, separated by spaces.
const answerFields = 10

// formatAnswer writes what the entry needs to know of r.
func formatAnswer(out http.Header, r *result, version int64) {
	child := 0
	if r.childFailed {
		child = 1
	}
	reason := string(r.reason)
	if reason == "" {
		reason = "-"
	}
	var l dogwoodford.Load
	if r.load != nil {
		l = *r.load
	}
	out[headerAnswer] = []string{fmt.Sprintf("%d %d %d %d %d %d %d %d %d %s", version, int(r.outcome),
		r.retryAfter.Milliseconds(), child, l.InFlight, l.Queued, l.Limit, int(l.Cutoff), int(r.below), reason)}
}

// parseAnswer reads what the guard said, and the version of its configuration.
func parseAnswer(in http.Header) (*result, int64, error) {
	text := in.Get(headerAnswer)
	f := strings.Split(text, " ")
	if len(f) != answerFields {
		return nil, 0, fmt.Errorf("%s %q: %w", headerAnswer, text, errPeerHeader)
	}
	var n [answerFields - 1]int64
	for i := range n {
		var err error
		if n[i], err = strconv.ParseInt(f[i], 10, 64); err != nil || n[i] < 0 {
			return nil, 0, fmt.Errorf("%s %q: %w", headerAnswer, text, errPeerHeader)
		}
	}
	r := &result{
		outcome: dogwoodford.Outcome(n[1]), retryAfter: time.Duration(n[2]) * time.Millisecond, childFailed: n[3] > 0,
		load: &dogwoodford.Load{
			InFlight: int(n[4]), Queued: int(n[5]), Limit: int(n[6]), Cutoff: dogwoodford.Priority(n[7]),
		},
		below: dogwoodford.Priority(n[8]),
	}
	if f[9] != "-" {
		r.reason = dogwoodford.Reason(f[9])
	}
	return r, n[0], nil
}
