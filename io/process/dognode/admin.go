package dognode

import (
	"context"
	"expvar"
	"fmt"
	"net/http"
	"net/http/pprof"
	"slices"
	"strconv"
	"strings"
	"time"

	"dogwoodford"
	"dogwoodford/core/process/dogmember"
	"dogwoodford/core/process/dogsuspect"
	"dogwoodford/io/process/doglog"
	"dogwoodford/io/process/dogstatus"
)

// statusTimeout bounds the wait of a status page for the control loop.
const statusTimeout = 2 * time.Second

// admin returns the handler of the admin listener.
func (n *node) admin() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+dogstatus.Path, dogstatus.Handler(n.status))
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.Handle("GET "+dogstatus.MetricsPath, n.metrics.Handler())
	mux.HandleFunc("GET /healthz", n.healthz)
	mux.HandleFunc("POST "+dogstatus.ReleasePath, n.release)
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
	return mux
}

func (n *node) healthz(w http.ResponseWriter, _ *http.Request) {
	s := n.control.snap.Load()
	if !s.Configured() {
		http.Error(w, "no contract in force", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ok")
}

// release ends the quarantine of the content named by the digest parameter.
func (n *node) release(w http.ResponseWriter, r *http.Request) {
	d, err := strconv.ParseUint(r.FormValue("digest"), 16, 64)
	if err != nil {
		n.log(doglog.AdminRequestFailed, attr("path", r.URL.Path), doglog.Err(err))
		http.Error(w, "digest: want 16 hexadecimal digits", http.StatusBadRequest)
		return
	}
	n.control.post(func(now time.Time) { n.control.onSuspects(now, dogsuspect.Release{Digest: d}) })
	n.log(doglog.DigestReleased, attr("digest", fmt.Sprintf("%016x", d)))
	w.WriteHeader(http.StatusAccepted)
}

func (n *node) status() dogstatus.Status {
	set := n.settings
	l := n.gate.Load()
	s := dogstatus.Status{
		Node: set.Node.Name, Service: set.Node.Service, DataCentre: set.Node.DataCentre,
		Entry: set.Listen.Entry, Peer: set.Listen.Peer, Admin: set.Listen.Admin,
		Started: n.started, Now: time.Now(),
		Target: dogstatus.Target{
			Address: set.Target.Address, InFlight: l.InFlight, Queued: l.Queued,
			Limit: l.Limit, Cutoff: int(l.Cutoff),
		},
		Platform: dogstatus.Platform{Address: set.Platform.Address, Reachable: !n.platform.CircuitOpen()},
	}
	n.platformStatus.describe(&s.Platform)
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	ok := n.control.ask(ctx, func(time.Time) { n.control.describe(&s) })
	if !ok {
		s.Problems = append(s.Problems, "the control loop did not answer in time")
	}
	return s
}

// describe fills in the fields of a status that come from the control state. It
// must run on the control loop.
func (c *control) describe(s *dogstatus.Status) {
	s.State = c.state.String()
	s.Target.State, s.Target.Slots = c.state.String(), c.slots
	s.Platform.Watching = c.isWatcher
	for _, e := range c.config.Snapshot() {
		s.Contracts = append(s.Contracts, dogstatus.Contract{
			Customer: e.Customer, Generation: e.Number, Since: e.Since, Source: c.sourceName(e.Source),
		})
	}
	slices.SortFunc(s.Contracts, func(a, b dogstatus.Contract) int { return strings.Compare(a.Customer, b.Customer) })
	for _, m := range c.member.Members() {
		s.Members = append(s.Members, memberStatus(m))
	}
	for i := range dogwoodford.KeyRanges {
		v := c.table.Row(c.n.settings.Node.Service, i)
		if v.Epoch == 0 {
			continue
		}
		s.Ranges = append(s.Ranges, dogstatus.Range{
			Service: c.n.settings.Node.Service, Number: i, Epoch: v.Epoch, Owner: v.Owner,
			Witness: v.Witness, Start: time.UnixMilli(v.Start), End: time.UnixMilli(v.End),
		})
	}
	for _, e := range c.suspects.View().Entries() {
		if e.Standing == dogsuspect.Quarantined {
			s.Quarantines = append(s.Quarantines, dogstatus.Quarantine{
				Service: e.Service, Digest: fmt.Sprintf("%016x", e.Digest), Until: e.Until,
			})
		}
	}
	for text, at := range c.problems {
		s.Problems = append(s.Problems, fmt.Sprintf("%s (%s)", text, at.UTC().Format(time.RFC3339)))
	}
	slices.Sort(s.Problems)
}

// sourceName returns the name of the node that listens at source, if it is the
// peer address of a member, and otherwise source itself.
func (c *control) sourceName(source string) string {
	for _, m := range c.member.Members() {
		if m.Peer == source {
			return m.Node
		}
	}
	return source
}

func memberStatus(m dogmember.Member) dogstatus.Member {
	return dogstatus.Member{
		Node: m.Node, Service: m.Service, DataCentre: m.DataCentre, State: m.State.String(),
		Peer: m.Peer, Admin: m.Admin, Suspected: m.Suspected,
	}
}
