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

// testEntryAfterDrill plays a drill. The copy has an earlier entry of the node if written is
// set, and none otherwise.
func testEntryAfterDrill(t *testing.T, written bool) {
	n, f := newFreshNode("rounds-1"), newFakeStore()
	n.state.copyDeparture = func(dogtarget.Departure) {}
	ctx, cancel := context.WithCancel(t.Context())
	entries := n.state.newEntryWatcher(f)
	a := &announcer{state: n.state, store: f, log: n.logger, sendEntry: ignoreEntry}
	done := make(chan error, 2)
	go func() { done <- entries.Serve(ctx) }()
	go func() { done <- a.Serve(ctx) }()
	h := dogtarget.Heartbeat{ID: "i-1", Service: "rounds", Address: "10.0.0.1:80", Born: 1, Sequence: 1, Slots: 4}
	beat := func(slots int) {
		h.Sequence++
		h.Slots = slots
		receiveHeartbeat(n.state, h)
		time.Sleep(time.Second)
	}
	if written {
		beat(4)
	}
	restore := f.copyOf()
	beat(5)
	beat(6)
	restore()
	for range entriesWait / time.Second * 2 {
		beat(6)
	}
	f.mu.Lock()
	var e dogfleet.Entry
	if err := json.Unmarshal(f.objects["rounds-1"].Value, &e); err != nil || e.Slots != 6 || e.State != dogwoodford.StateReady {
		t.Errorf("after the drill the store has the entry %+v, error %v; want 6 slots, ready", e, err)
	}
	f.mu.Unlock()
	cancel()
	<-done
	<-done
	n.logger.close()
	if !strings.Contains(n.log.String(), `"store-restored"`) {
		t.Errorf("no line of the drill in the log:\n%s", n.log)
	}
}
