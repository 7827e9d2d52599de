package dogsidecar

import (
	"context"
	"net/http/httptest"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"dogwoodford"
	"dogwoodford/core/process/dogcrash"
	"dogwoodford/core/process/dogfleet"
	"dogwoodford/core/process/dogtarget"
	"dogwoodford/io/connection/dogconn"
)

// TestTargetCrashes guards against crashes that are not reported to other
// nodes, so that a content crashes one target after another, and against
// planned stops that are reported as crashes.
func TestTargetCrashes(t *testing.T) {
	beat := dogtarget.Heartbeat{ID: "i-1", Service: "rounds", Address: "10.0.0.1:80", Born: 100, Sequence: 1, Slots: 4}
	again := beat
	again.Born = 200
	draining := beat
	draining.Draining, draining.Sequence = true, 2
	for _, tc := range []struct {
		name string
		end  func(s *state)
		want [][]uint64
	}{
		{"refuses connections", func(s *state) { s.MarkFailed("i-1"); s.MarkFailed("i-1") }, [][]uint64{{7, 8}, {17, 18}}},
		{"was started again", func(s *state) { receiveHeartbeat(s, again) }, [][]uint64{{7, 8}, {17, 18}}},
		{"both", func(s *state) { s.MarkFailed("i-1"); receiveHeartbeat(s, again) }, [][]uint64{{7, 8}, {17, 18}}},
		{"drained", func(s *state) { receiveHeartbeat(s, draining); s.MarkFailed("i-1"); receiveHeartbeat(s, again) }, nil},
		{"left", func(s *state) { leaveTarget(s, "i-1"); receiveHeartbeat(s, again) }, nil},
	} {
		s := testState(t, func() int64 { return 1 })
		receiveHeartbeat(s, beat)
		s.DispatchStarted("a", dogcrash.Content{Shared: 17, Own: 7})
		s.DispatchStarted("b", dogcrash.Content{Shared: 18, Own: 8})
		s.DispatchStarted("c", dogcrash.Content{Shared: 19, Own: 9})
		s.RecordCompletion(dogcrash.Content{Shared: 19, Own: 9})
		s.DispatchEnded("a", true)
		tc.end(s)
		var got [][]uint64
		for _, r := range s.entry().Crashes {
			got = append(got, slices.Sorted(slices.Values(r.Digests)))
		}
		if diff := cmp.Diff(tc.want, got); diff != "" {
			t.Errorf("%s: reported crashes (-want +got):\n%s", tc.name, diff)
		}
	}
}

// TestQuarantine guards against a content that is not refused after it crashed
// three targets, or is refused earlier.
func TestQuarantine(t *testing.T) {
	s := testState(t, func() int64 { return 1 })
	for i, node := range []string{"rounds-2", "rounds-3", "rounds-4"} {
		if left := s.QuarantineRemaining(dogcrash.Content{Shared: 17, Own: 7}); left != 0 {
			t.Errorf("quarantined for %v after %d crashes", left, i)
		}
		e := dogfleet.Entry{
			Node: node, Service: "rounds", State: dogwoodford.StateReady,
			Crashes: []dogcrash.Report{{ID: node + "/1", Digests: []uint64{7}}},
		}
		s.put(e, rev(int64(2*i+1)))
		s.put(e, rev(int64(2*i+2)))
	}
	if left := s.QuarantineRemaining(dogcrash.Content{Shared: 17, Own: 7}); left < 10*time.Second {
		t.Errorf("quarantined for %v, want at least 10 s", left)
	}
}

// TestQuarantineTester guards against a harmless content that stays refused because the only
// node that may test it gets no request with it, or is gone, and against tests by more than
// one node.
func TestQuarantineTester(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := dogcrash.Content{Shared: 17, Own: 7}
		entry, tester, other := crashedState(t, "billing-1", "billing"), crashedState(t, "rounds-3", "rounds"), crashedState(t, "rounds-2", "rounds")
		ask := func(want string) {
			t.Helper()
			got, ok := entry.QuarantineTester(c, "rounds")
			if !ok {
				got = "nobody"
			}
			if got != want {
				t.Errorf("the entry may ask %s, want %s", got, want)
			}
		}
		ask("nobody") // In quarantine.
		time.Sleep(30 * time.Second)
		ask("rounds-3")
		ask("nobody") // It asked just now.
		if entry.TestQuarantined(c) || other.TestQuarantined(c) || !tester.TestQuarantined(c) || tester.TestQuarantined(c) {
			t.Error("not exactly one test, by the tester")
		}
		time.Sleep(5 * time.Second)
		for _, s := range []*state{entry, tester, other} {
			s.MarkUnreachable("rounds-1", true)
			s.MarkUnreachable("rounds-3", true)
		}
		ask("rounds-2")
		if !other.TestQuarantined(c) {
			t.Error("no test by the node that takes the place of the tester")
		}
	})
}

// crashedState returns the state of a node that knows of four crashes with one content at
// the targets of the service "rounds", the last one beside rounds-3.
func crashedState(t *testing.T, node, service string) *state {
	s := testState(t, func() int64 { return 1 })
	s.settings.Node, s.settings.Service = node, service
	s.crashes.detector = dogcrash.NewDetector(node, "1")
	for i, name := range []string{"rounds-1", "rounds-2", "rounds-3"} {
		s.put(dogfleet.Entry{
			Node: name, Service: "rounds", State: dogwoodford.StateReady,
			Crashes: []dogcrash.Report{
				{ID: name + "/1", Digests: []uint64{7}}, {ID: name + "/shared/1", Digests: []uint64{17}, Shared: true},
				{ID: name + "/shared/2", Digests: []uint64{17}, Shared: true},
			},
		}, rev(int64(i+1)))
	}
	return s
}

// TestCrashesOutlastRestarts guards against reports that are lost when the node that
// wrote them is restarted: nodes that start later would not know of the crashes.
func TestCrashesOutlastRestarts(t *testing.T) {
	s := testState(t, func() int64 { return 1 })
	stored := dogfleet.Entry{
		Node: "rounds-1", Service: "rounds", State: dogwoodford.StateReady,
		Crashes: []dogcrash.Report{{ID: "rounds-1/99/1", Digests: []uint64{7}}, {ID: "rounds-1/99/2", Digests: []uint64{7}}},
	}
	s.put(stored, rev(1))
	s.setListed()
	receiveHeartbeat(s, dogtarget.Heartbeat{ID: "i-1", Service: "rounds", Address: "10.0.0.1:80", Born: 100, Sequence: 1, Slots: 4})
	if diff := cmp.Diff(stored.Crashes, s.entry().Crashes); diff != "" {
		t.Errorf("reports in the entry after a restart (-want +got):\n%s", diff)
	}
}

// TestCrashReportedDirectly guards against nodes that hear of a crash only when they
// next watch the store, seconds later, or not at all while the store is away.
func TestCrashReportedDirectly(t *testing.T) {
	a, b := testState(t, func() int64 { return 1 }), testState(t, func() int64 { return 1 })
	receiver := httptest.NewServer((&peers{state: b, configs: &configs{}, log: b.log}).handler())
	defer receiver.Close()
	a.put(dogfleet.Entry{Node: "rounds-2", Peer: receiver.Listener.Addr().String(), State: dogwoodford.StateReady}, rev(1))
	transport := dogconn.NewPeer(dogconn.Options{MaxConns: 1, DialTimeout: time.Second})
	sender := &peers{state: a, transport: transport, kept: transport, log: a.log}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- sender.sendReports(ctx) }()
	c := dogcrash.Content{Shared: 17, Own: 7}
	for born := int64(1); born <= 4; born++ {
		receiveHeartbeat(a, dogtarget.Heartbeat{ID: "i-1", Service: "rounds", Address: "10.0.0.1:80", Born: born, Sequence: 1, Slots: 4})
		a.DispatchStarted("a", c)
	}
	for end := time.Now().Add(5 * time.Second); b.QuarantineRemaining(c) == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if b.QuarantineRemaining(c) == 0 {
		t.Error("the other node does not refuse the content after three crashes")
	}
	cancel()
	<-done
}

// TestSilentCrash guards against a crash that is not reported because the target had
// been silent for so long that it counted as failed before it was started again.
func TestSilentCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := testState(t, func() int64 { return 1 })
		beat := dogtarget.Heartbeat{ID: "i-1", Service: "rounds", Address: "10.0.0.1:80", Born: 100, Sequence: 1, Slots: 4}
		receiveHeartbeat(s, beat)
		s.DispatchStarted("a", dogcrash.Content{Shared: 17, Own: 7})
		time.Sleep(2 * maxMissedHeartbeats * s.settings.Heartbeat)
		s.refresh()
		beat.Born = 200
		receiveHeartbeat(s, beat)
		if got := len(s.entry().Crashes); got != 2 {
			t.Errorf("%d reports of a crash after silence, want 2 (for the caller and for all)", got)
		}
	})
}
