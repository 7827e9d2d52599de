package dogrelay

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"dogwoodford/core/request/dogcall"
	"dogwoodford/io/process/doglog"
)

// headerAdvice carries the advice of a target between nodes, with its answers to
// entries and with calls back to the guard. A guard that has been restarted has not
// heard the target yet, while entries have passed on what it said.
const headerAdvice = dogcall.Prefix + "Advice"

// adviceFields is the count of fields in headerAdvice.
const adviceFields = 3

// advice is what a target says in its responses about the requests that it takes.
type advice struct {
	target  string  // ID of the target.
	rate    float64 // Requests per second that it takes from all nodes; 0 means no limit.
	leaving bool    // It takes no new requests, because it is about to stop.
}

func (a advice) empty() bool { return a.rate == 0 && !a.leaving }

// format sets headerAdvice, unless a is empty.
func (a advice) format(out http.Header) {
	if !a.empty() {
		out[headerAdvice] = []string{fmt.Sprintf("%s %g %d", a.target, a.rate, boolToInt(a.leaving))}
	}
}

// parseAdvice returns the advice in headerAdvice, which is empty if there is none.
// Errors wrap errPeerHeader.
func parseAdvice(in http.Header) (advice, error) {
	text := in.Get(headerAdvice)
	if text == "" {
		return advice{}, nil
	}
	f := strings.Split(text, " ")
	if len(f) != adviceFields {
		return advice{}, fmt.Errorf("%s %q: %w", headerAdvice, text, errPeerHeader)
	}
	r, err := parseRate(f[1])
	if err != nil {
		return advice{}, fmt.Errorf("%s %q: %w", headerAdvice, text, errPeerHeader)
	}
	return advice{target: f[0], rate: r, leaving: f[2] == "1"}, nil
}

// parseRate returns a rate in requests per second.
func parseRate(text string) (float64, error) {
	r, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil {
		return 0, fmt.Errorf("rate %q: %w", text, err)
	}
	if r < 0 || math.IsInf(r, 0) || math.IsNaN(r) {
		return 0, fmt.Errorf("rate %q is no number of requests per second: %w", text, strconv.ErrRange)
	}
	return r, nil
}

// minNamedRate stands for a named rate of 0, which would mean no limit.
const minNamedRate = 1e-3

// adviceOf returns the advice in a response of the target with this ID. A rate that
// cannot be read counts as the last one that could.
func (h *Handlers) adviceOf(ctx context.Context, target string, in http.Header) advice {
	a := advice{target: target, leaving: in.Get(h.cfg.Headers.Leaving) != ""}
	text := in.Get(h.cfg.Headers.Rate)
	if text == "" {
		return a
	}
	r, err := parseRate(text)
	if err != nil {
		h.cfg.Log.Event(ctx, doglog.AnswerMalformed, targetAttr(target), doglog.Err(err))
		r = h.advised.of(h.cfg.Node).rate
	}
	a.rate = max(r, minNamedRate)
	return a
}

// follow makes the guard act on the advice in a response of its target.
func (h *Handlers) follow(ctx context.Context, a advice) {
	h.followMu.Lock()
	defer h.followMu.Unlock()
	before := h.advised.replace(h.cfg.Node, a)
	if before == a {
		return
	}
	h.cfg.Gate.SetRate(a.rate)
	if a.leaving {
		h.cfg.Local.MarkLeaving(a.target)
	}
	if before.rate != a.rate || before.leaving != a.leaving {
		h.cfg.Log.Event(ctx, doglog.TargetAdvice, targetAttr(a.target), slog.Float64("rate", a.rate),
			slog.Float64("before", before.rate), slog.Bool("leaving", a.leaving))
	}
}

// adopt makes the guard act on advice that an entry heard from its target. What the
// guard has heard itself is newer, but for a target that is leaving, which is final.
func (h *Handlers) adopt(ctx context.Context, a advice) {
	if a.empty() {
		return
	}
	if t, _ := h.cfg.Local.Current(); t.ID != a.target {
		return
	}
	if own := h.advised.of(h.cfg.Node); own.target == a.target {
		if !a.leaving || own.leaving {
			return
		}
		a.rate = own.rate
	}
	h.follow(ctx, a)
}

// adviceTable holds the last advice of targets, by node. It is safe for concurrent use.
type adviceTable struct {
	mu     sync.Mutex
	byNode map[string]advice
}

// of returns the last advice of the target on a node.
func (t *adviceTable) of(node string) advice {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byNode[node]
}

// replace records advice of the target on a node and returns the advice before it.
func (t *adviceTable) replace(node string, a advice) advice {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byNode == nil {
		t.byNode = make(map[string]advice)
	}
	before := t.byNode[node]
	t.byNode[node] = a
	return before
}

// record records at an entry the advice of the target on another node. Nodes without
// advice are not kept.
func (t *adviceTable) record(node string, a advice) {
	if !a.empty() {
		t.replace(node, a)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byNode, node)
}
