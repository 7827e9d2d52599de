package dogrelay

import (
	"fmt"
	"net/http"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"dogwoodford"
	"dogwoodford/core/process/dogtree"
	"dogwoodford/core/request/dogcall"
	"dogwoodford/core/version/dogtable"
)

// Headers between nodes, in canonical form. Each carries several fields, because
// with one header per field the names would be most of the bytes sent between
// data centres.
const (
	headerCall   = dogcall.Prefix + "Call"
	headerAnswer = dogcall.Prefix + "Answer"
	// headerCleared is present if the call is cleared. It is a header of its own because nodes of earlier builds reject
	// a headerCall with more fields.
	headerCleared = dogcall.Prefix + "Cleared"
	// headerRuns holds the recent runs of the class at the target, if some of them
	// failed because of a child call: their number, and that of the failed ones. It is
	// a header of its own for the same reason.
	headerRuns = dogcall.Prefix + "Runs"
	// headerRank holds the rank of the request within its importance, plus 1. It is
	// present if the request has a workspace.
	headerRank = dogcall.Prefix + "Rank"
	// headerPace holds the service time of the target in microseconds, if it is known.
	// It is a header of its own for the same reason.
	headerPace = dogcall.Prefix + "Pace"
)

// errPeerHeader is wrapped by all errors about the headers between nodes.
var errPeerHeader = eris.New("malformed header from another node")

// hopByHopHeaders are never forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true,
	"Upgrade": true, "Expect": true, "Content-Length": true,
}

// endToEnd returns a copy of h without hop-by-hop headers and headers between
// nodes.
func endToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h)+8)
	named := namedByConnection(h)
	for k, v := range h {
		if hopByHopHeaders[k] || dogcall.IsReservedHeader(k) || named[k] {
			continue
		}
		out[k] = v
	}
	return out
}

// keepEndToEnd removes hop-by-hop headers and headers between nodes from h and
// returns h. Unlike endToEnd it makes no copy: only requests need one, as they
// can be sent more than once.
func keepEndToEnd(h http.Header) http.Header {
	for k := range namedByConnection(h) {
		delete(h, k)
	}
	for k := range h {
		if hopByHopHeaders[k] || dogcall.IsReservedHeader(k) {
			delete(h, k)
		}
	}
	return h
}

// namedByConnection returns the headers that the Connection header declares as
// hop-by-hop; nil if there are none.
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

// IsCall reports whether r, which another node sent, forwards the request of a
// caller. Other requests between nodes concern the nodes themselves.
func IsCall(r *http.Request) bool { return r.Header.Get(headerCall) != "" }

// callNumbers and callTexts are the counts of numeric fields and text fields in
// headerCall. The fields are separated by spaces, numeric ones first.
const (
	callNumbers = 8
	callTexts   = 4
)

// maxTypicalFields is the length in bytes of the fields of most calls.
const maxTypicalFields = 256

// formatFields formats a header of space-separated fields: numbers, then texts.
func formatFields(numbers []int64, texts []string) string {
	var typical [maxTypicalFields]byte
	b := typical[:0]
	for _, n := range numbers {
		b = append(strconv.AppendInt(b, n, 10), ' ')
	}
	for _, t := range texts {
		b = append(append(b, t...), ' ')
	}
	return string(b[:len(b)-1])
}

// parseFields parses a header of space-separated fields: non-negative numbers,
// then texts. Errors wrap errPeerHeader.
func parseFields(h http.Header, name string, numbers, texts int) ([]int64, []string, error) {
	text := h.Get(name)
	fields := strings.Split(text, " ")
	if len(fields) != numbers+texts {
		return nil, nil, fmt.Errorf("%s %q: %w", name, text, errPeerHeader)
	}
	n := make([]int64, numbers)
	for i := range n {
		var err error
		if n[i], err = strconv.ParseInt(fields[i], 10, 64); err != nil || n[i] < 0 {
			return nil, nil, fmt.Errorf("%s %q: %w", name, text, errPeerHeader)
		}
	}
	out := fields[numbers:]
	for i := range out {
		out[i] = unescapeField(out[i])
	}
	return n, out, nil
}

// escapeField returns a name as a field of a header. Names without bytes that end a field,
// or that headers may not have, stay as they are, as nodes of earlier builds expect.
func escapeField(name string) string {
	special := func(r rune) bool { return r <= ' ' || r == '%' || r >= 0x7f }
	if strings.IndexFunc(name, special) < 0 {
		return name
	}
	return url.PathEscape(name)
}

// unescapeField returns the name that escapeField was given. Nodes of earlier builds send
// names with "%" as they are.
func unescapeField(field string) string {
	if name, err := url.PathUnescape(field); err == nil {
		return name
	}
	return field
}

// boolToInt returns 1 for true and 0 for false.
func boolToInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// formatCall sets headerCall to the fields of c that the guard needs.
func (h *Handlers) formatCall(out http.Header, c *call, now time.Time) {
	out[headerCall] = []string{formatFields(
		[]int64{
			h.cfg.Tables.Version(), int64(c.kind), c.remainingMillis(now), int64(c.attempt), int64(c.lineage.priority),
			int64(c.lineage.hop), boolToInt(c.lineage.retried), int64(c.content.Shared),
		},
		[]string{escapeField(c.lineage.class), h.cfg.Peer, escapeField(c.service), escapeField(c.caller)},
	)}
	h.formatWorkspace(out, c)
	if c.lineage.fairRank > 0 {
		out[headerRank] = []string{strconv.Itoa(c.lineage.fairRank)}
	}
	if c.cleared {
		out[headerCleared] = []string{"1"}
	}
}

// parseCall returns the call that headerCall of r describes, without its body.
// Errors wrap errPeerHeader.
func (h *Handlers) parseCall(r *http.Request, now time.Time) (*call, error) {
	n, f, err := parseFields(r.Header, headerCall, callNumbers, callTexts)
	if err != nil {
		return nil, err
	}
	id := r.Header.Get(h.cfg.Headers.Attempt)
	h.cfg.Fleet.ConfigSeen(n[0], f[1])
	root, _, _ := strings.Cut(id, idSeparator)
	c := &call{
		id: id, service: f[2], caller: f[3], kind: dogtable.Kind(n[1]),
		deadline: now.Add(time.Duration(n[2]) * time.Millisecond), attempt: int(n[3]), source: r,
		lineage: lineage{root: root, class: f[0], priority: int(n[4]), hop: int(n[5]), retried: n[6] > 0, fairRank: parseRank(r.Header)},
		content: contentOf(f[3], uint64(n[7])), cleared: r.Header.Get(headerCleared) != "",
		// The sender may have an older configuration without workspaces, and forward the key.
		hidesKeys: h.hasWorkspaces(),
	}
	if c.hidesKeys {
		// Without workspaces, callers may use a header of that name for something else.
		c.lineage.workspace = r.Header.Get(h.cfg.Headers.Workspace)
	}
	return c, nil
}

// parseRank returns the rank in headerRank, 0 if there is none or it is malformed: the
// request then has a random rank.
func parseRank(in http.Header) int {
	rank, err := strconv.Atoi(in.Get(headerRank))
	if err != nil || rank < 0 {
		return 0
	}
	return min(rank, dogwoodford.RankCount)
}

// answerNumbers and answerTexts are the counts of numeric fields and text fields
// in headerAnswer.
const (
	answerNumbers = 9
	answerTexts   = 1
)

// noReason represents ReasonNone in headerAnswer, where no field may be empty.
const noReason = "-"

// formatAnswer sets headerAnswer to the fields of r that the entry needs.
func formatAnswer(out http.Header, r *result, version int64) {
	reason := string(r.reason)
	if reason == "" {
		reason = noReason
	}
	var l dogwoodford.Load
	if r.load != nil {
		l = *r.load
	}
	out[headerAnswer] = []string{formatFields(
		[]int64{
			version, int64(r.outcome), r.retryAfter.Milliseconds(), boolToInt(r.childFailed), int64(l.InFlight), int64(l.Queued),
			int64(l.Limit), int64(l.Cutoff), int64(r.downstreamCutoff),
		},
		[]string{reason},
	)}
	formatRuns(out, r.runs)
	formatPace(out, l.ServiceTime)
}

// formatPace sets headerPace if the service time is known.
func formatPace(out http.Header, d time.Duration) {
	if d >= time.Microsecond {
		out[headerPace] = []string{strconv.FormatInt(d.Microseconds(), 10)}
	}
}

// parsePace returns the service time in headerPace, 0 if there is none. A value that
// cannot be read counts as none, as the choice of a target goes on without it.
func parsePace(in http.Header) time.Duration {
	us, err := strconv.ParseInt(in.Get(headerPace), 10, 64)
	if err != nil || us < 0 || us > maxPace.Microseconds() {
		return 0
	}
	return time.Duration(us) * time.Microsecond
}

// maxPace bounds the service time that another node may report.
const maxPace = time.Hour

// runsNumbers is the count of fields in headerRuns.
const runsNumbers = 2

// formatRuns sets headerRuns if there is something to report.
func formatRuns(out http.Header, r dogtree.Runs) {
	if r.Failed > 0 {
		out[headerRuns] = []string{fmt.Sprintf("%d %d", r.Total, r.Failed)}
	}
}

// parseRuns returns the runs in headerRuns, none if there is no such header. Errors wrap
// errPeerHeader.
func parseRuns(in http.Header) (dogtree.Runs, error) {
	if in.Get(headerRuns) == "" {
		return dogtree.Runs{}, nil
	}
	n, _, err := parseFields(in, headerRuns, runsNumbers, 0)
	if err != nil {
		return dogtree.Runs{}, err
	}
	if n[1] > n[0] {
		return dogtree.Runs{}, fmt.Errorf("%s: %d of %d runs failed: %w", headerRuns, n[1], n[0], errPeerHeader)
	}
	return dogtree.Runs{Total: int(n[0]), Failed: int(n[1])}, nil
}

// parseAnswer returns the result that headerAnswer describes and the version of
// the guard's configuration. Errors wrap errPeerHeader.
func parseAnswer(in http.Header) (*result, int64, error) {
	n, f, err := parseFields(in, headerAnswer, answerNumbers, answerTexts)
	if err != nil {
		return nil, 0, err
	}
	r := &result{
		outcome: dogwoodford.Outcome(n[1]), retryAfter: time.Duration(n[2]) * time.Millisecond, childFailed: n[3] > 0,
		load: &dogwoodford.Load{
			InFlight: int(n[4]), Queued: int(n[5]), Limit: int(n[6]), Cutoff: dogwoodford.Priority(n[7]),
			ServiceTime: parsePace(in),
		},
		downstreamCutoff: dogwoodford.Priority(n[8]),
	}
	if f[0] != noReason {
		r.reason = dogwoodford.Reason(f[0])
	}
	return r, n[0], nil
}
