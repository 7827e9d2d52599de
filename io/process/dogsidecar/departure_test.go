package dogsidecar

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodford"
	"dogwoodford/core/process/dogfleet"
	"dogwoodford/core/process/dogtarget"
	"dogwoodford/io/connection/dogconn"
)

// TestDepartureOutlastsRestart guards against a node that uses a target again which had
// left, because it was restarted and then received a heartbeat that the target had sent
// before.
func TestDepartureOutlastsRestart(t *testing.T) {
	beat := dogtarget.Heartbeat{ID: "i-1", Service: "rounds", Address: "10.0.0.1:80", Born: 100, Sequence: 1, Slots: 4}
	draining := beat
	draining.Draining, draining.Sequence = true, 2
	for name, depart := range map[string]func(*state){
		"left":     func(s *state) { leaveTarget(s, "i-1") },
		"draining": func(s *state) { receiveHeartbeat(s, draining) },
		"answered": func(s *state) { s.MarkLeaving("i-1") },
	} {
		before := testState(t, func() int64 { return 1 })
		receiveHeartbeat(before, beat)
		depart(before)
		after := testState(t, func() int64 { return 1 })
		after.put(before.entry(), rev(7))
		if _, reason := after.Current(); reason == dogwoodford.ReasonNone {
			t.Errorf("%s: the target is used before its heartbeat", name)
		}
		late := beat
		late.Sequence = 90
		receiveHeartbeat(after, late)
		if _, reason := after.Current(); reason == dogwoodford.ReasonNone {
			t.Errorf("%s: the target is used after a late heartbeat", name)
		}
		late.Born = 200
		receiveHeartbeat(after, late)
		if _, reason := after.Current(); reason != dogwoodford.ReasonNone {
			t.Errorf("%s: the next start of the target is refused: %s", name, reason)
		}
	}
}

// departedState returns the state of rounds-1, which knows others of its service, with a
// ready target.
func departedState(t *testing.T, others int) *state {
	t.Helper()
	s := testState(t, func() int64 { return 1 })
	for i := range others {
		s.put(dogfleet.Entry{Node: fmt.Sprintf("rounds-%d", i+2), Service: "rounds", Peer: fmt.Sprintf("10.0.0.%d:81", i+2)}, rev(1))
	}
	receiveHeartbeat(s, dogtarget.Heartbeat{ID: "i-1", Service: "rounds", Address: "10.0.0.1:80", Born: 100, Sequence: 1, Slots: 4})
	return s
}

// keptCase is a departure while the store or some other nodes may hold it.
type keptCase struct {
	name   string
	write  time.Duration // Time after which the store holds the entry.
	others int
	takers int // Other nodes that take a copy.
	took   time.Duration
	err    error
}

// run checks when depart returns, and with which error.
func (tc keptCase) run(t *testing.T, depart func(*state) error) {
	s := departedState(t, tc.others)
	s.copyDeparture = func(d dogtarget.Departure) {
		for i := range tc.takers {
			s.departureCopied(fmt.Sprintf("rounds-%d", i+2), d)
		}
	}
	write := time.AfterFunc(tc.write, func() { s.put(s.entry(), rev(3)) })
	defer write.Stop()
	start := time.Now()
	if err := depart(s); !errors.Is(err, tc.err) {
		t.Errorf("error %v, want %v", err, tc.err)
	}
	if took := time.Since(start); took != tc.took {
		t.Errorf("took %v, want %v", took, tc.took)
	}
	if _, reason := s.Current(); reason == dogwoodford.ReasonNone {
		t.Error("the target is used, whether or not its departure was acknowledged")
	}
}

// TestDepartureIsKept guards against an acknowledged departure that a node which is killed
// right after the acknowledgement does not remember, because neither the store nor other
// nodes hold it, and against a target that gets no acknowledgement though they do.
func TestDepartureIsKept(t *testing.T) {
	draining := dogtarget.Heartbeat{ID: "i-1", Service: "rounds", Address: "10.0.0.1:80", Born: 100, Sequence: 2, Slots: 4, Draining: true}
	const written, never = 50 * time.Millisecond, time.Hour
	for _, tc := range []keptCase{
		{"store holds it", written, 5, 0, written, nil},
		{"others hold it", never, 5, 2, departureWriteTime, nil},
		{"one other node holds it", never, 5, 1, departureWriteTime + departureCopyTime, errDepartureNotKept},
		{"the only other node holds it", never, 1, 1, departureWriteTime, nil},
		{"alone", never, 0, 0, departureWriteTime + departureCopyTime, errDepartureNotKept},
		{"store holds it late", departureWriteTime + written, 5, 1, departureWriteTime + written, nil},
	} {
		for name, depart := range map[string]func(*state) error{
			"leaves": func(s *state) error { return s.Leave(context.Background(), "i-1") },
			"drains": func(s *state) error { _, err := s.ReceiveHeartbeat(context.Background(), draining); return err },
		} {
			t.Run(tc.name+", "+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { tc.run(t, depart) })
			})
		}
	}
}

// TestOutdatedDrain guards against a drain that is acknowledged and not followed, because
// the heartbeat is older than the one that is taken for the present.
func TestOutdatedDrain(t *testing.T) {
	present := dogtarget.Heartbeat{ID: "i-1", Service: "rounds", Address: "10.0.0.1:80", Born: 200, Sequence: 5, Slots: 4}
	for _, tc := range []struct {
		name           string
		born, sequence int64
		drained        bool // The present target has said before that it is draining.
		err            error
	}{
		{"a repeated drain", 200, 6, true, nil},
		{"a late drain behind a later one", 200, 4, true, nil},
		{"another start, taken for an earlier one", 100, 9, false, errDepartureUnknown},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := testState(t, func() int64 { return 1 })
			beat := present
			beat.Draining = tc.drained
			time.AfterFunc(time.Millisecond, func() { s.put(s.entry(), rev(3)) })
			receiveHeartbeat(s, beat)
			beat.Born, beat.Sequence, beat.Draining = tc.born, tc.sequence, true
			if _, err := s.ReceiveHeartbeat(t.Context(), beat); !errors.Is(err, tc.err) {
				t.Errorf("%s: error %v, want %v", tc.name, err, tc.err)
			}
		})
	}
}

// newDepartureNode returns the peers of a node that listens on a loopback address, with
// its entry.
func newDepartureNode(t *testing.T, name string) (*peers, dogfleet.Entry) {
	t.Helper()
	s := testState(t, func() int64 { return 1 })
	s.settings.Node = name
	p := &peers{
		state: s, log: s.log, configs: &configs{},
		transport: dogconn.NewPeer(dogconn.Options{IdleTimeout: time.Millisecond}), kept: dogconn.NewPeer(dogconn.Options{}),
	}
	s.copyDeparture = func(d dogtarget.Departure) { p.copyDeparture(t.Context(), d) }
	srv := httptest.NewServer(p.handler())
	t.Cleanup(srv.Close)
	return p, dogfleet.Entry{Node: name, Service: "rounds", Peer: srv.Listener.Addr().String(), State: dogwoodford.StateReady, Slots: 4}
}

// TestDepartureReturns guards against a node that uses its departed target again after a
// restart with the store away, because the nodes with copies do not return the departure,
// or return it for good though the store holds it.
func TestDepartureReturns(t *testing.T) {
	beat := dogtarget.Heartbeat{ID: "i-1", Service: "rounds", Address: "10.0.0.1:80", Born: 100, Sequence: 1, Slots: 4}
	before, own := newDepartureNode(t, "rounds-1")
	var others []*peers
	for _, name := range []string{"rounds-2", "rounds-3"} {
		p, e := newDepartureNode(t, name)
		p.state.put(own, rev(1))
		before.state.put(e, rev(1))
		others = append(others, p)
	}
	before.state.put(own, rev(1))
	receiveHeartbeat(before.state, beat)
	if err := before.state.Leave(t.Context(), "i-1"); err != nil {
		t.Fatal(err)
	}
	after, again := newDepartureNode(t, "rounds-1")
	beat.Sequence = 2
	receiveHeartbeat(after.state, beat)
	for _, p := range others {
		p.state.put(again, rev(2))
		p.returnDepartures(t.Context())
	}
	if _, reason := after.state.Current(); reason == dogwoodford.ReasonNone {
		t.Error("the target is used after its departure was returned")
	}
	want := after.state.entry()
	if d := (dogtarget.Departure{ID: "i-1", Born: 100}); want.Departed != d || want.State != dogwoodford.StateDraining {
		t.Errorf("the store is to hold departure %v in state %v, want %v", want.Departed, want.State, d)
	}
	for _, p := range others {
		p.state.put(want, rev(3))
		if left := p.state.departureCopies(); len(left) > 0 {
			t.Errorf("%s keeps %v though the store holds it", p.state.settings.Node, left)
		}
	}
}

// TestDepartureWithoutHeartbeat guards against a departure that the store never holds,
// because the process was started again and no heartbeat of the target has come since.
func TestDepartureWithoutHeartbeat(t *testing.T) {
	stored := dogfleet.Entry{Node: "rounds-1", Service: "rounds", Peer: "10.0.0.1:81", State: dogwoodford.StateReady, Slots: 4}
	for name, depart := range map[string]func(*state) bool{
		"leaves": func(s *state) bool { return s.Leave(context.Background(), "i-1") == nil },
		"returned by another node": func(s *state) bool {
			return s.takeDeparture(departureMessage{Node: "rounds-1", Departure: dogtarget.Departure{ID: "i-1", Born: 100}})
		},
	} {
		synctest.Test(t, func(t *testing.T) {
			s, f := testState(t, func() int64 { return 1 }), newFakeStore()
			data, err := json.Marshal(stored)
			if err != nil {
				t.Fatal(err)
			}
			f.objects["rounds-1"] = dogwoodford.StoreObject{Name: "rounds-1", Revision: rev(1), Value: data}
			s.put(stored, rev(1))
			s.setListed()
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan error)
			go func() { done <- (&announcer{state: s, store: f, log: s.log, sendEntry: ignoreEntry}).Serve(ctx) }()
			if !depart(s) {
				t.Errorf("%s: not kept", name)
			}
			synctest.Wait()
			have, _ := s.storedEntry()
			if have.Departed.ID != "i-1" || have.State != dogwoodford.StateDraining || have.Slots != 4 {
				t.Errorf("%s: the store holds %+v, want the departure", name, have)
			}
			cancel()
			<-done
		})
	}
}

// TestReceivedDepartures guards against messages about departures that are malformed and
// acknowledged.
func TestReceivedDepartures(t *testing.T) {
	p, _ := newDepartureNode(t, "rounds-1")
	for body, status := range map[string]int{
		`{"node":"depot-1","departure":{"id":"i-1","born":100}}`:  http.StatusOK,
		`{"node":"rounds-1","departure":{"id":"i-1","born":100}}`: http.StatusOK,
		`{"node":"","departure":{"id":"i-1","born":100}}`:         http.StatusBadRequest,
		`{"node":"depot-1","departure":{"id":"","born":100}}`:     http.StatusBadRequest,
		`{"node":"depot-1","departure":{"id":"i-1","born":"x"}}`:  http.StatusBadRequest,
		`{"node":`: http.StatusBadRequest,
	} {
		w := httptest.NewRecorder()
		p.handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, departurePath, strings.NewReader(body)))
		if w.Code != status {
			t.Errorf("%s: status %d, want %d", body, w.Code, status)
		}
	}
}
