package dogsidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"dogwoodford"
	"dogwoodford/core/process/dogbudget"
	"dogwoodford/core/process/dogfleet"
	"dogwoodford/core/process/dogtarget"
	"dogwoodford/core/version/dogtable"
	"dogwoodford/io/process/dogmetric"
	"dogwoodford/io/request/dogrelay"
)

func testSettings() Settings {
	return Settings{
		Node: "rounds-1", Service: "rounds", Target: "10.0.0.1:80", Advertised: "10.0.0.1:81",
		Heartbeat: 1500 * time.Millisecond, RetryWindow: 10 * time.Second,
	}
}

func testState(t *testing.T, version func() int64) *state {
	log := newLogger(io.Discard, "rounds-1")
	t.Cleanup(log.close)
	s := newState(testSettings(), log, version)
	s.setSlots = func(int) {}
	s.copyDeparture = func(dogtarget.Departure) {}
	return s
}

// receiveHeartbeat delivers a heartbeat in a test that does not ask whether a departure is
// kept.
func receiveHeartbeat(s *state, h dogtarget.Heartbeat) dogtarget.Effect {
	e, _ := s.ReceiveHeartbeat(context.Background(), h)
	return e
}

// leaveTarget makes the target leave, likewise.
func leaveTarget(s *state, id string) { _ = s.Leave(context.Background(), id) }

// ignoreEntry is the sendEntry of an announcer without other nodes.
func ignoreEntry(context.Context, versionedEntry) {}

func waitLong() time.Duration { return entriesWait }

// TestWatchRestartsAfterMissedChange guards against a watch that never recovers
// after the store has lost its changes, although another call to the store
// returned a later revision.
func TestWatchRestartsAfterMissedChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeStore()
		log := newLogger(io.Discard, "rounds-1")
		defer log.close()
		w := &kindWatcher{
			kind: "k", wait: waitLong, store: f, log: log,
			listed: func([]dogwoodford.StoreObject) {}, changed: func(dogwoodford.Change) {},
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- w.Serve(ctx) }()
		synctest.Wait()
		f.mu.Lock()
		f.dropChanges, f.revision = true, 9
		f.mu.Unlock()
		w.restartIfBehind(rev(1)) // Not newer.
		time.Sleep(time.Second)
		if f.listed() != 1 {
			t.Errorf("%d lists before a change, want 1", f.listed())
		}
		w.restartIfBehind(rev(9))
		time.Sleep(time.Second)
		w.restartIfBehind(rev(9)) // Already listed.
		time.Sleep(time.Second)
		if f.listed() != 2 {
			t.Errorf("%d lists after a missed change, want 2", f.listed())
		}
		cancel()
		<-done
	})
}

// TestWatchBacksOffInOutage guards against too many calls during an outage of
// the store, and against a node that notices its end late.
func TestWatchBacksOffInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeStore()
		f.err = dogwoodford.ErrUnavailable
		log := newLogger(io.Discard, "rounds-1")
		defer log.close()
		w := &kindWatcher{
			kind: "k", wait: waitLong, store: f, log: log,
			listed: func([]dogwoodford.StoreObject) {}, changed: func(dogwoodford.Change) {},
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- w.Serve(ctx) }()
		const outage = 30 * time.Second
		time.Sleep(outage)
		if most := int(outage/maxRetryPause) + 4; f.listed() > most {
			t.Errorf("%d calls in %v, want at most %d", f.listed(), outage, most)
		}
		f.mu.Lock()
		f.err = nil
		f.mu.Unlock()
		time.Sleep(maxRetryPause)
		cancel()
		<-done
		if w.storeLost {
			t.Errorf("the end of the outage is not noticed after %v", maxRetryPause)
		}
	})
}

// TestAnnounce guards against entries that do not match the state of the node,
// and against writes without a change.
func TestAnnounce(t *testing.T) {
	s := testState(t, func() int64 { return 1 })
	f := newFakeStore()
	a := &announcer{state: s, store: f, log: s.log, sendEntry: ignoreEntry}
	beat := dogtarget.Heartbeat{ID: "i-1", Service: "rounds", Address: "10.0.0.1:80", Born: 1, Sequence: 1, Slots: 4}
	var got []string
	record := func(what string) {
		if err := a.write(t.Context()); err != nil {
			t.Fatalf("%s: %v", what, err)
		}
		var e dogfleet.Entry
		if o, ok := f.objects["rounds-1"]; ok {
			if err := json.Unmarshal(o.Value, &e); err != nil {
				t.Fatal(err)
			}
		}
		got = append(got, fmt.Sprintf("%s: %v, %d writes", what, e.State, f.writes))
	}
	s.setListed()
	record("before the first heartbeat")
	receiveHeartbeat(s, beat)
	record("ready")
	beat.Sequence++
	receiveHeartbeat(s, beat)
	record("another heartbeat")
	s.MarkFailed("i-1")
	record("lost for a moment")
	beat.Sequence++
	beat.Draining = true
	receiveHeartbeat(s, beat)
	record("draining")
	leaveTarget(s, "i-1")
	record("left")
	want := []string{
		"before the first heartbeat: starting, 0 writes", "ready: ready, 1 writes", "another heartbeat: ready, 1 writes",
		"lost for a moment: ready, 1 writes", "draining: draining, 2 writes", "left: left, 3 writes",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("entries (-want +got):\n%s", diff)
	}
}

// TestAnnounceConflict guards against a node that overwrites an entry that it
// has not seen, and against one that cannot write its entry after such a
// conflict.
func TestAnnounceConflict(t *testing.T) {
	s := testState(t, func() int64 { return 1 })
	f := newFakeStore()
	f.revision = 6
	f.objects["rounds-1"] = dogwoodford.StoreObject{Name: "rounds-1", Revision: rev(6), Value: []byte(`{"node":"rounds-1","state":2}`)}
	a := &announcer{state: s, store: f, log: s.log, sendEntry: ignoreEntry}
	s.setListed()
	receiveHeartbeat(s, dogtarget.Heartbeat{ID: "i-1", Service: "rounds", Address: "10.0.0.1:80", Born: 1, Sequence: 1, Slots: 4})
	if err := a.write(t.Context()); err == nil {
		t.Error("overwrote an entry that was not seen")
	}
	s.put(dogfleet.Entry{Node: "rounds-1", State: dogwoodford.StateDraining}, rev(6))
	if err := a.write(t.Context()); err != nil {
		t.Errorf("write after the entry was seen: %v", err)
	}
}

// plainDialect is a Dialect whose configuration is only a version.
type plainDialect struct{}

func (plainDialect) Headers() dogrelay.Headers              { return dogrelay.Headers{} }
func (plainDialect) ConfigObject() (string, string)         { return "config", "main" }
func (plainDialect) Control(HeartbeatReceiver) http.Handler { return http.NotFoundHandler() }
func (plainDialect) Ready(func() bool) http.Handler         { return http.NotFoundHandler() }
func (plainDialect) HideKeys(v []byte) ([]byte, error)      { return v, nil }

func (plainDialect) ParseConfig(v []byte) (dogtable.Spec, error) {
	var s dogtable.Spec
	if err := json.Unmarshal(v, &s.Version); err != nil {
		return s, fmt.Errorf("version: %w", err)
	}
	return s, nil
}

// TestConfigs guards against accepting an older or invalid configuration.
func TestConfigs(t *testing.T) {
	log := newLogger(io.Discard, "rounds-1")
	defer log.close()
	c := &configs{dialect: plainDialect{}, log: log, metrics: dogmetric.NewSet(), tables: new(dogtable.Holder), split: dogtable.NewSplit(newRand())}
	var got []int64
	for _, value := range []string{"3", "x", "2", "0", "7", "5"} {
		c.offer([]byte(value), "store")
		got = append(got, c.tables.Version())
	}
	if diff := cmp.Diff([]int64{3, 3, 3, 3, 7, 7}, got); diff != "" {
		t.Errorf("versions in force (-want +got):\n%s", diff)
	}
}

// TestOverlappingConfigs guards against a node that passes an older configuration on to
// others than the one that it has put in force, because two came at the same time.
func TestOverlappingConfigs(t *testing.T) {
	log := newLogger(io.Discard, "rounds-1")
	defer log.close()
	for round := range 2000 {
		c := &configs{dialect: plainDialect{}, log: log, metrics: dogmetric.NewSet(), tables: new(dogtable.Holder), split: dogtable.NewSplit(newRand())}
		var wg sync.WaitGroup
		for version := range 32 {
			wg.Go(func() { c.offer([]byte(fmt.Sprint(version+1)), "store") })
		}
		wg.Wait()
		if raw := string(*c.raw.Load()); c.tables.Version() != 32 || raw != "32" {
			t.Fatalf("round %d: version %d in force, %s passed on; want 32", round, c.tables.Version(), raw)
		}
	}
}

// hidingDialect hides all of a configuration.
type hidingDialect struct{ plainDialect }

func (hidingDialect) HideKeys([]byte) ([]byte, error) { return []byte("hidden"), nil }

// TestServedConfig guards against keys of callers in the configuration that a node sends to
// others.
func TestServedConfig(t *testing.T) {
	log := newLogger(io.Discard, "rounds-1")
	defer log.close()
	c := &configs{dialect: hidingDialect{}, log: log, metrics: dogmetric.NewSet(), tables: new(dogtable.Holder), split: dogtable.NewSplit(newRand())}
	c.offer([]byte("7"), "store")
	w := httptest.NewRecorder()
	c.serve(w, nil)
	if got := w.Body.String(); got != "hidden" {
		t.Errorf("served %q, want the configuration without its keys", got)
	}
}

// partlyReadDialect reads configurations of which it does not understand one route.
type partlyReadDialect struct{ plainDialect }

func (d partlyReadDialect) ParseConfig(v []byte) (dogtable.Spec, error) {
	s, err := d.plainDialect.ParseConfig(v)
	s.Problems = []dogtable.Problem{{Route: "news", Err: dogtable.ErrTable}}
	return s, err
}

// TestConfigProblems guards against routes that the node does not understand and of
// which the operator sees nothing.
func TestConfigProblems(t *testing.T) {
	var out bytes.Buffer
	log := newLogger(&out, "rounds-1")
	c := &configs{
		dialect: partlyReadDialect{}, log: log, metrics: dogmetric.NewSet(), tables: new(dogtable.Holder), split: dogtable.NewSplit(newRand()),
	}
	c.offer([]byte("2"), "store")
	log.close()
	if got := []int64{c.tables.Version(), c.metrics.Value(dogmetric.ConfigProblems)}; !cmp.Equal(got, []int64{2, 1}) {
		t.Errorf("version and problems %v, want 2 and 1", got)
	}
	if line := out.String(); !strings.Contains(line, "config-partly-read") || !strings.Contains(line, `"route":"news"`) {
		t.Errorf("log lacks the route that is not understood: %s", line)
	}
}

// TestSilentNode guards against requests that keep waiting for a node that has
// stopped answering.
func TestSilentNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := testState(t, func() int64 { return 1 })
		var probes atomic.Int64
		s.probeAlive = func(dogfleet.Entry) bool { return probes.Add(1) < 2 }
		s.put(dogfleet.Entry{Node: "depot-1", Service: "depot", State: dogwoodford.StateReady}, rev(1))
		alive := s.NodeContext("depot-1")
		s.RequestSent("depot-1")
		time.Sleep(200 * time.Millisecond)
		if probes.Load() != 1 || alive.Err() != nil {
			t.Errorf("after 200 ms: probed %d times, context error %v; want once and none", probes.Load(), alive.Err())
		}
		time.Sleep(200 * time.Millisecond)
		if probes.Load() != 2 || alive.Err() == nil {
			t.Errorf("after 400 ms: probed %d times, context error %v; want twice and an error", probes.Load(), alive.Err())
		}
		s.RequestEnded("depot-1", false)
		time.Sleep(time.Second)
		if probes.Load() != 2 {
			t.Errorf("probed %d times, want 2 as no request is in progress", probes.Load())
		}
	})
}

// TestReload guards against changed settings that are not applied to the retry
// budget and the grace period.
func TestReload(t *testing.T) {
	s := testState(t, func() int64 { return 1 })
	s.RecordFirst("depot")
	if s.Allow(dogbudget.Request{Service: "depot", Root: true}) {
		t.Error("an attempt is allowed without a budget")
	}
	next := testSettings()
	next.RetrySlack, next.Grace = 100, time.Second
	if !s.apply(next) || s.grace() != time.Second || !s.Allow(dogbudget.Request{Service: "depot", Root: true}) {
		t.Error("the changed settings were not applied")
	}
	if s.apply(next) {
		t.Error("unchanged settings are reported as changed")
	}
}
