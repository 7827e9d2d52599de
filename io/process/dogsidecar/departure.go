package dogsidecar

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"dogwoodford/core/process/dogdeparture"
	"dogwoodford/core/process/dogtarget"
	"dogwoodford/io/process/doglog"
	"dogwoodford/io/process/dogserve"
)

const (
	// departureWriteTime is the time for which the acknowledgement of a departure waits for
	// the store alone, which usually takes milliseconds.
	departureWriteTime = 300 * time.Millisecond
	// departureCopyTime is the time for which it then waits for the store or for copies at
	// other nodes. Targets wait a second for both together.
	departureCopyTime = 500 * time.Millisecond
)

// errDepartureNotKept means that a departure would be forgotten if the process ended. The
// target stops getting requests all the same.
var errDepartureNotKept = eris.New("neither the store nor other nodes hold the departure")

// errDepartureUnknown means that the heartbeat of a draining target is older than the one
// that is taken for the present, and that the node doesn't follow it.
var errDepartureUnknown = eris.New("the target that drains is not the present one")

// departureMessage is a departure as nodes send it to each other: to others that keep a
// copy, and back to the node beside whose target it happened.
type departureMessage struct {
	Node      string              `json:"node"` // Node beside the target.
	Departure dogtarget.Departure `json:"departure"`
}

// departureChanged wakes those that wait until a departure is kept. The caller must hold
// s.mu.
func (s *state) departureChanged() {
	close(s.keptChanged)
	s.keptChanged = make(chan struct{})
}

// keepDeparture returns when the last departure of the target would outlast a restart of
// this process: the store holds it in the node's entry, or other nodes keep copies. The
// error is errDepartureNotKept if neither is so in time, or that of ctx.
func (s *state) keepDeparture(ctx context.Context) error {
	start := time.Now()
	copied, err := s.awaitKept(ctx, departureWriteTime)
	d, _ := s.unstoredDeparture()
	if err != nil {
		go s.copyDeparture(d)
		copied, err = s.awaitKept(ctx, departureCopyTime)
	}
	keeper := "store"
	switch {
	case err != nil:
		keeper = "none"
	case copied:
		keeper = "nodes"
	}
	s.log.event(doglog.DepartureAnswered, slog.String("target", d.ID), slog.Int64("born", d.Born), slog.String("held", keeper),
		slog.Int64("took_ms", time.Since(start).Milliseconds()))
	return err
}

// awaitKept waits until the last departure is kept, at most for d. It reports whether only
// other nodes keep it.
func (s *state) awaitKept(ctx context.Context, d time.Duration) (copied bool, err error) {
	timeout := time.NewTimer(d)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		_, unstored := s.lastDeparture()
		copied, changed := unstored && s.departures.Safe(s.otherNodes()), s.keptChanged
		s.mu.Unlock()
		if copied || !unstored {
			return copied, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false, fmt.Errorf("keep departure: %w", ctx.Err())
		case <-timeout.C:
			return false, fmt.Errorf("keep departure: %w", errDepartureNotKept)
		}
	}
}

// lastDeparture returns the last departure of the target, and whether the node's entry in the
// store lacks it. The caller must hold s.mu.
func (s *state) lastDeparture() (d dogtarget.Departure, unstored bool) {
	d = s.target.Departure()
	s.departures.SetOwn(d)
	have, _, _ := s.fleet.Entry(s.settings.Node)
	return d, d.ID != "" && have.Departed != d
}

// unstoredDeparture is lastDeparture for callers that do not hold s.mu.
func (s *state) unstoredDeparture() (d dogtarget.Departure, unstored bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastDeparture()
}

// otherNodes returns the number of other known nodes. The caller must hold s.mu.
func (s *state) otherNodes() int {
	if _, _, ok := s.fleet.Entry(s.settings.Node); ok {
		return s.fleet.Len() - 1
	}
	return s.fleet.Len()
}

// departureCopied records that another node keeps a copy of a departure of this one.
func (s *state) departureCopied(node string, d dogtarget.Departure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.departures.Copied(node, d)
	s.departureChanged()
}

// takeDeparture keeps the departure of another node's target, or records one of this node's
// own target that its process may have forgotten. It reports whether the node holds it now.
func (s *state) takeDeparture(m departureMessage) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.Node != s.settings.Node {
		return s.departures.Keep(time.Now(), dogdeparture.Copy{Node: m.Node, Departure: m.Departure})
	}
	if s.target.Restore(m.Departure) {
		s.log.event(doglog.DepartureRestored, slog.String("target", m.Departure.ID), slog.Int64("born", m.Departure.Born))
		s.updateTargetState()
		s.wakeAnnouncer()
	}
	return true
}

// departureCopies returns the copies that are to be returned to their nodes.
func (s *state) departureCopies() []dogdeparture.Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.departures.Copies(time.Now())
}

// copyDeparture sends a departure of this node's target to all other nodes, which keep it.
func (p *peers) copyDeparture(ctx context.Context, d dogtarget.Departure) {
	p.broadcast(ctx, departurePath, departureMessage{Node: p.state.settings.Node, Departure: d}, doglog.DepartureNotSent,
		func(node string) { p.state.departureCopied(node, d) })
}

// repeatDepartures sends the departures that the store lacks again and again, until ctx
// ends: that of the own target to all other nodes, as they may have been restarted, and
// copies to the nodes beside whose targets they happened, for the same reason.
func (p *peers) repeatDepartures(ctx context.Context) error {
	for ctx.Err() == nil {
		dogserve.Sleep(ctx, dogdeparture.Interval(p.state.NodeCount()))
		if d, unstored := p.state.unstoredDeparture(); unstored {
			p.copyDeparture(ctx, d)
		}
		p.returnDepartures(ctx)
	}
	return ctx.Err()
}

// returnDepartures sends each copy to its node.
func (p *peers) returnDepartures(ctx context.Context) {
	copies := p.state.departureCopies()
	parallel(len(copies), func(i int) {
		c := copies[i]
		e, ok := p.state.knownEntry(c.Node)
		if !ok {
			return
		}
		if err := p.sendMessage(ctx, e, departurePath, departureMessage(c)); err != nil {
			p.log.event(doglog.DepartureNotSent, slog.String("peer", c.Node), doglog.Err(err))
		}
	})
}

// receiveDeparture takes a departure from another node.
func (p *peers) receiveDeparture(w http.ResponseWriter, r *http.Request) {
	var m departureMessage
	if err := decodeMessage(r, &m); err != nil || m.Node == "" || m.Departure.ID == "" {
		p.log.event(doglog.ObjectInvalid, slog.String("name", m.Node), doglog.Err(err))
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !p.state.takeDeparture(m) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
