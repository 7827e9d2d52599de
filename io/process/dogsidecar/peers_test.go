package dogsidecar

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodford"
	"dogwoodford/core/process/dogfleet"
	"dogwoodford/core/process/dogtarget"
	"dogwoodford/io/connection/dogconn"
)

// silentStore is a store that loses the answers to the removal of objects while silent.
type silentStore struct {
	*fakeStore
	silent bool
}

func (s *silentStore) Delete(ctx context.Context, _, _ string, _ dogwoodford.Revision) error {
	if !s.silent {
		return nil
	}
	<-ctx.Done()
	return fmt.Errorf("delete: %w: %w", dogwoodford.ErrUnavailable, ctx.Err())
}

// staleState returns the state of a node that knows of five others, one of which has been
// unreachable for so long that its entry is to be removed.
func staleState(t *testing.T) *state {
	s := testState(t, func() int64 { return 1 })
	for i := range 5 {
		s.put(dogfleet.Entry{Node: fmt.Sprint("depot-", i), Service: "depot", State: dogwoodford.StateReady}, rev(int64(i+1)))
	}
	s.MarkUnreachable("depot-1", true)
	time.Sleep(31 * time.Second)
	return s
}

// TestLostRemoval guards against a node that waits without end for the answer of the store
// to the removal of an entry, and against one that forgets a node whose entry may still be
// there: if that node comes back, its entry does not change.
func TestLostRemoval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := staleState(t)
		store := &silentStore{fakeStore: newFakeStore(), silent: true}
		p := &peers{state: s, store: store, log: s.log}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		done := make(chan struct{})
		go func() { p.removeStale(ctx); close(done) }()
		select {
		case <-done:
		case <-time.After(2 * writeTimeout):
			t.Fatalf("still waiting for the store after %v", 2*writeTimeout)
		}
		if n := s.NodeCount(); n != 5 {
			t.Errorf("%d nodes are known after a removal with an unknown result, want 5", n)
		}
		store.silent = false
		p.removeStale(ctx)
		if n := s.NodeCount(); n != 4 {
			t.Errorf("%d nodes are known after a removal, want 4", n)
		}
	})
}

// TestRefusedRemovals guards against a node that asks a store too often which refuses each
// removal, and against one that no longer tries when the store is well again.
func TestRefusedRemovals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := staleState(t)
		store := newFakeStore()
		store.err = dogwoodford.ErrUnavailable
		p := &peers{state: s, store: store, log: s.log}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- p.removeUnreachable(ctx) }()
		time.Sleep(time.Minute)
		if n := store.removals.Load(); n < 6 || n > 12 {
			t.Errorf("%d attempts in a minute, want 6 to 12", n)
		}
		if n := s.NodeCount(); n != 5 {
			t.Errorf("%d nodes are known while no removal succeeds, want 5", n)
		}
		store.setError(nil)
		time.Sleep(6 * time.Second)
		if n := s.NodeCount(); n != 4 {
			t.Errorf("%d nodes are known after the removal, want 4", n)
		}
		cancel()
		<-done
	})
}

// TestReusedAddress guards against a node that is used without end although it is gone,
// because another one answers pings at its address.
func TestReusedAddress(t *testing.T) {
	other := testState(t, func() int64 { return 1 })
	other.settings.Node = "depot-9"
	receiveHeartbeat(other, dogtarget.Heartbeat{ID: "i-1", Service: "rounds", Address: "10.0.0.1:80", Born: 1, Sequence: 1, Slots: 4})
	receiver := httptest.NewServer((&peers{state: other, configs: &configs{}, log: other.log}).handler())
	defer receiver.Close()
	s := testState(t, func() int64 { return 1 })
	p := &peers{state: s, transport: dogconn.NewPeer(dogconn.Options{DialTimeout: time.Second}), log: s.log}
	addr := receiver.Listener.Addr().String()
	for i, node := range []string{"depot-1", "depot-9"} {
		e := dogfleet.Entry{Node: node, Service: "depot", Peer: addr, State: dogwoodford.StateReady}
		s.put(e, rev(int64(i+1)))
		if got, want := p.isAlive(e), node == "depot-9"; got != want {
			t.Errorf("%s is alive: %v, want %v", node, got, want)
		}
		s.MarkUnreachable(node, false)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- p.probeUnreachable(ctx) }()
	time.Sleep(time.Second)
	cancel()
	<-done
	var got []string
	for _, target := range s.Targets() {
		got = append(got, target.Node)
	}
	if len(got) != 1 || got[0] != "depot-9" {
		t.Errorf("nodes in use %v, want depot-9 alone", got)
	}
}
