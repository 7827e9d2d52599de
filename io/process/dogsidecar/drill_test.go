package dogsidecar

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodford"
	"dogwoodford/core/process/dogfleet"
	"dogwoodford/core/process/dogtarget"
)

// TestEntryAfterDrill guards against a node whose entry has a lower number in a store that
// came back from a copy than before. The node ignored the entry of the copy, took its own
// for written, and could not write it any more.
func TestEntryAfterDrill(t *testing.T) {
	for name, written := range map[string]bool{"entry in the copy": true, "no entry in the copy": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testEntryAfterDrill(t, written) })
		})
	}
}

// drilledNode is a node whose entry is watched and written, and its store.
type drilledNode struct {
	*freshNode
	store *fakeStore
	beat  dogtarget.Heartbeat // Last heartbeat of the target.
}

// startDrilled starts the watch and the announcer of a node. The returned function ends them.
func startDrilled(t *testing.T) (n *drilledNode, stop func()) {
	n = &drilledNode{freshNode: newFreshNode("rounds-1"), store: newFakeStore()}
	n.beat = dogtarget.Heartbeat{ID: "i-1", Service: "rounds", Address: "10.0.0.1:80", Born: 1}
	n.state.copyDeparture = func(dogtarget.Departure) {}
	ctx, cancel := context.WithCancel(t.Context())
	a := &announcer{state: n.state, store: n.store, log: n.logger, sendEntry: ignoreEntry}
	done := make(chan error, 2)
	go func() { done <- n.state.newEntryWatcher(n.store).Serve(ctx) }()
	go func() { done <- a.Serve(ctx) }()
	return n, func() {
		cancel()
		<-done
		<-done
		n.logger.close()
	}
}

// heartbeats delivers a heartbeat each second for d.
func (n *drilledNode) heartbeats(slots int, d time.Duration) {
	for range d / time.Second {
		n.beat.Sequence++
		n.beat.Slots = slots
		receiveHeartbeat(n.state, n.beat)
		time.Sleep(time.Second)
	}
}

// entry returns the node's entry in the store.
func (n *drilledNode) entry(t *testing.T) dogfleet.Entry {
	t.Helper()
	n.store.mu.Lock()
	defer n.store.mu.Unlock()
	var e dogfleet.Entry
	if err := json.Unmarshal(n.store.objects["rounds-1"].Value, &e); err != nil {
		t.Errorf("entry in the store: %v", err)
	}
	return e
}

// testEntryAfterDrill plays a drill. The copy has an earlier entry of the node if written is
// set, and none otherwise.
func testEntryAfterDrill(t *testing.T, written bool) {
	n, stop := startDrilled(t)
	if written {
		n.heartbeats(4, time.Second)
	}
	restore := n.store.copyOf()
	n.heartbeats(5, time.Second)
	n.heartbeats(6, time.Second)
	restore()
	n.heartbeats(6, 2*entriesWait)
	if e := n.entry(t); e.Slots != 6 || e.State != dogwoodford.StateReady {
		t.Errorf("after the drill the store has the entry %+v; want 6 slots, ready", e)
	}
	stop()
	if !strings.Contains(n.log.String(), `"store-restored"`) {
		t.Errorf("no line of the drill in the log:\n%s", n.log)
	}
}

// TestDepartureAfterDrill guards against an acknowledged departure that a drill takes out of
// the store, and that is forgotten when all nodes are killed some time later.
func TestDepartureAfterDrill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, stop := startDrilled(t)
		n.heartbeats(4, time.Second)
		restore := n.store.copyOf()
		leaveTarget(n.state, "i-1")
		time.Sleep(time.Second)
		want := dogtarget.Departure{ID: "i-1", Born: 1}
		if e := n.entry(t); e.Departed != want {
			t.Errorf("before the drill the store has the departure %+v, want %+v", e.Departed, want)
		}
		restore()
		time.Sleep(2 * entriesWait)
		if e := n.entry(t); e.Departed != want {
			t.Errorf("after the drill the store has the departure %+v, want %+v", e.Departed, want)
		}
		stop()
	})
}
