package dogsidecar

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/thejerf/suture/v4"

	"dogwoodford"
	"dogwoodford/core/process/dogdeparture"
	"dogwoodford/core/process/dogtarget"
)

// TestFirstHeartbeat guards against a node that takes a late heartbeat for the present after
// a start, though the store was away when it started and nobody can tell it what an earlier
// process acknowledged. While the store answers, one heartbeat is enough.
func TestFirstHeartbeat(t *testing.T) {
	beat := dogtarget.Heartbeat{ID: "i-1", Service: "rounds", Address: "10.0.0.1:80", Born: 100, Slots: 4}
	for _, tc := range []struct {
		name   string
		away   time.Duration // Time for which the store is away, from the start on.
		needed int           // Heartbeats until the target is used.
	}{
		{"store answers", 0, 1},
		{"store is away at first", 500 * time.Millisecond, 2},
		{"store stays away", time.Hour, 2},
	} {
		synctest.Test(t, func(t *testing.T) {
			s, f := testState(t, func() int64 { return 1 }), newFakeStore()
			f.setError(dogwoodford.ErrUnavailable)
			if tc.away == 0 {
				f.setError(nil)
			}
			back := time.AfterFunc(tc.away, func() { f.setError(nil) })
			defer back.Stop()
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan error)
			go func() { done <- s.newEntryWatcher(f).Serve(ctx) }()
			go func() { _ = (&peers{state: s, log: s.log}).assure(ctx) }() // Ends before ctx or with it.
			time.Sleep(2 * time.Second)
			n, reason := 0, dogwoodford.ReasonNoTarget
			for ; n < 5 && reason != dogwoodford.ReasonNone; n++ {
				beat.Sequence++
				receiveHeartbeat(s, beat)
				_, reason = s.Current()
				time.Sleep(s.settings.Heartbeat)
			}
			if n != tc.needed {
				t.Errorf("%s: used after %d heartbeats, want %d", tc.name, n, tc.needed)
			}
			cancel()
			<-done
		})
	}
}

// TestHeartbeatBeforeList guards against a node that waits for a second heartbeat though the
// store answers, because the first one came before the answer to its first question: after a
// loss of power a target and its node start at the same moment.
func TestHeartbeatBeforeList(t *testing.T) {
	for _, tc := range []struct {
		questions int
		ready     bool
	}{{1, true}, {2, false}} {
		synctest.Test(t, func(t *testing.T) {
			s := testState(t, func() int64 { return 1 })
			for range tc.questions {
				s.entriesAsked()
			}
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan error)
			go func() { done <- (&peers{state: s, log: s.log}).assure(ctx) }()
			receiveHeartbeat(s, dogtarget.Heartbeat{ID: "i-1", Service: "rounds", Address: "10.0.0.1:80", Born: 100, Sequence: 1, Slots: 4})
			if _, reason := s.Current(); reason == dogwoodford.ReasonNone {
				t.Errorf("%d questions: the target is used before an answer", tc.questions)
			}
			s.setListed()
			synctest.Wait()
			if _, reason := s.Current(); (reason == dogwoodford.ReasonNone) != tc.ready {
				t.Errorf("%d questions: after the answer %v, want ready %v", tc.questions, reason, tc.ready)
			}
			cancel()
			<-done
		})
	}
}

// TestStoredDeparture guards against a departure that is acknowledged while only the store
// holds it, which may be away when the node starts again: the others get the entry first, and
// tell a node that asks.
func TestStoredDeparture(t *testing.T) {
	departure := dogtarget.Departure{ID: "i-1", Born: 100}
	other, otherEntry := newDepartureNode(t, "rounds-2")
	own, _ := newDepartureNode(t, "rounds-1")
	s := own.state
	s.put(otherEntry, rev(1))
	s.setListed()
	receiveHeartbeat(s, dogtarget.Heartbeat{ID: "i-1", Service: "rounds", Address: "10.0.0.1:80", Born: 100, Sequence: 1, Slots: 4})
	s.MarkLeaving("i-1")
	a := &announcer{state: s, store: newFakeStore(), log: s.log, sendEntry: func(ctx context.Context, v versionedEntry) {
		if _, unstored := s.unstoredDeparture(); !unstored {
			t.Error("the departure can be acknowledged before the others were told")
		}
		own.sendEntry(ctx, v)
	}}
	if err := a.write(t.Context()); err != nil {
		t.Fatal(err)
	}
	got := other.state.knownDepartures("rounds-1").Departures
	if diff := cmp.Diff([]dogtarget.Departure{departure}, got); diff != "" {
		t.Errorf("departures that the other node tells (-want +got):\n%s", diff)
	}
}

// TestSlowStart guards against a node that never asks the others, because its first question
// to the store is late: the process gets little time when it starts.
func TestSlowStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := testState(t, func() int64 { return 1 })
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		done := make(chan error)
		go func() { done <- (&peers{state: s, log: s.log}).assure(ctx) }()
		time.Sleep(2 * minAssurancePause)
		s.entriesAsked()
		s.setListed()
		if err := <-done; !errors.Is(err, suture.ErrDoNotRestart) || !s.assured {
			t.Errorf("assured %v, error %v; want true and the end of the questions", s.assured, err)
		}
	})
}

// TestCopiesBeforeFirstUse guards against a node that uses its departed target for a moment
// after a start, though the store answers: it holds the entry from before the departure, and
// the nodes with copies return it only with their next round.
func TestCopiesBeforeFirstUse(t *testing.T) {
	departure := dogtarget.Departure{ID: "i-1", Born: 100}
	other, entry := newDepartureNode(t, "rounds-2")
	other.state.departures.Keep(time.Now(), dogdeparture.Copy{Node: "rounds-1", Departure: departure})
	own, ownEntry := newDepartureNode(t, "rounds-1")
	s := own.state
	s.entriesAsked()
	s.put(entry, rev(1))
	s.put(ownEntry, rev(2))
	s.setListed()
	receiveHeartbeat(s, dogtarget.Heartbeat{ID: "i-1", Service: "rounds", Address: "10.0.0.1:80", Born: 100, Sequence: 9, Slots: 4})
	if _, reason := s.Current(); reason == dogwoodford.ReasonNone {
		t.Error("the target is used before the others were asked")
	}
	if err := own.assure(t.Context()); !errors.Is(err, suture.ErrDoNotRestart) {
		t.Errorf("error %v, want %v", err, suture.ErrDoNotRestart)
	}
	if got := s.target.State(time.Now()); got != dogwoodford.StateDraining {
		t.Errorf("state %v after the others were asked, want %v", got, dogwoodford.StateDraining)
	}
}

// TestAssurance guards against a node that starts without the store and uses a departed
// target again, though another node keeps the departure, or that stays without its target
// though one that has run all the while knows of none.
func TestAssurance(t *testing.T) {
	beat := dogtarget.Heartbeat{ID: "i-1", Service: "rounds", Address: "10.0.0.1:80", Born: 100, Sequence: 1, Slots: 4}
	departure := dogdeparture.Copy{Node: "rounds-1", Departure: dogtarget.Departure{ID: "i-1", Born: 100}}
	for _, tc := range []struct {
		name   string
		uptime time.Duration // Of the other node.
		kept   bool          // The other node keeps the departure.
		state  dogwoodford.State
	}{
		{"it has run for long", time.Minute, false, dogwoodford.StateReady},
		{"it has run for long and keeps the departure", time.Minute, true, dogwoodford.StateDraining},
		{"it was started as well", time.Second, false, dogwoodford.StateStarting},
	} {
		other, entry := newDepartureNode(t, "rounds-2")
		other.state.startedAt = time.Now().Add(-tc.uptime)
		if tc.kept {
			other.state.departures.Keep(time.Now(), departure)
		}
		own, _ := newDepartureNode(t, "rounds-1")
		own.state.entriesAsked()
		receiveHeartbeat(own.state, beat)
		own.state.put(entry, rev(1))
		own.askDepartures(t.Context())
		if got := own.state.target.State(time.Now()); got != tc.state || own.state.needsAssurance() != (tc.state == dogwoodford.StateStarting) {
			t.Errorf("%s: state %v, needs assurance %v; want %v", tc.name, got, own.state.needsAssurance(), tc.state)
		}
	}
}
