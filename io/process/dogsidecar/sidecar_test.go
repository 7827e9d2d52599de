package dogsidecar

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"dogwoodford"
	"dogwoodford/core/process/dogfleet"
	"dogwoodford/core/process/dogtarget"
	"dogwoodford/core/version/dogtable"
	"dogwoodford/io/request/dogrelay"
)

// fakeStore is a store in memory that can fail.
type fakeStore struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]dogwoodford.Object
	deaf     bool  // Watches hear of nothing.
	fail     error // Of all calls.
	lists    int
	writes   int
}

func (f *fakeStore) List(context.Context, string) ([]dogwoodford.Object, int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lists++
	var out []dogwoodford.Object
	for _, o := range f.objects {
		out = append(out, o)
	}
	return out, f.revision, f.fail
}

func (f *fakeStore) Watch(ctx context.Context, _ string, after int64, wait time.Duration) ([]dogwoodford.Change, int64, error) {
	select {
	case <-ctx.Done():
		return nil, 0, fmt.Errorf("watch: %w: %w", dogwoodford.ErrUnavailable, ctx.Err())
	case <-time.After(wait):
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fail != nil {
		return nil, 0, f.fail
	}
	if f.deaf {
		return nil, after, nil
	}
	var out []dogwoodford.Change
	for _, o := range f.objects {
		if o.Version > after {
			out = append(out, dogwoodford.Change{Object: o})
		}
	}
	return out, f.revision, nil
}

func (f *fakeStore) Put(_ context.Context, _, name string, expected int64, value []byte) (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writes++
	if f.fail != nil {
		return 0, f.fail
	}
	if f.objects[name].Version != expected {
		return 0, dogwoodford.ErrConflict
	}
	f.revision++
	f.objects[name] = dogwoodford.Object{Name: name, Version: f.revision, Value: value}
	return f.revision, nil
}

func (f *fakeStore) Delete(context.Context, string, string, int64) error { return f.fail }

func (f *fakeStore) listed() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lists
}

func newFakeStore() *fakeStore {
	return &fakeStore{revision: 1, objects: make(map[string]dogwoodford.Object)}
}

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
	s.slots = func(int) {}
	return s
}

func waitLong() time.Duration { return entriesWait }

// TestWatchMissesChanges guards against a watch that goes on for ever after the
// store has lost its changes: another answer of the store shows the revision.
func TestWatchMissesChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeStore()
		log := newLogger(io.Discard, "rounds-1")
		defer log.close()
		w := &kindWatch{
			kind: "k", wait: waitLong, store: f, log: log,
			listed: func([]dogwoodford.Object) {}, changed: func(dogwoodford.Change) {},
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- w.Serve(ctx) }()
		synctest.Wait()
		f.mu.Lock()
		f.deaf, f.revision = true, 9
		f.mu.Unlock()
		w.check(1) // Nothing new.
		time.Sleep(time.Second)
		if f.listed() != 1 {
			t.Errorf("%d lists before a change, want 1", f.listed())
		}
		w.check(9)
		time.Sleep(time.Second)
		w.check(9) // Known by now.
		time.Sleep(time.Second)
		if f.listed() != 2 {
			t.Errorf("%d lists after a missed change, want 2", f.listed())
		}
		cancel()
		<-done
	})
}

// TestWatchInOutage guards against calls in proportion to the length of an
// outage, and against a node that takes long to notice its end.
func TestWatchInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeStore()
		f.fail = dogwoodford.ErrUnavailable
		log := newLogger(io.Discard, "rounds-1")
		defer log.close()
		w := &kindWatch{
			kind: "k", wait: waitLong, store: f, log: log,
			listed: func([]dogwoodford.Object) {}, changed: func(dogwoodford.Change) {},
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- w.Serve(ctx) }()
		const outage = 30 * time.Second
		time.Sleep(outage)
		if most := int(outage/watchRetryMost) + 4; f.listed() > most {
			t.Errorf("%d calls in %v, want at most %d", f.listed(), outage, most)
		}
		f.mu.Lock()
		f.fail = nil
		f.mu.Unlock()
		time.Sleep(watchRetryMost)
		cancel()
		<-done
		if w.lost {
			t.Errorf("the end of the outage is not seen after %v", watchRetryMost)
		}
	})
}

// TestAnnounce guards against entries that say something else than the node
// does, and against writes without a change.
func TestAnnounce(t *testing.T) {
	s := testState(t, func() int64 { return 1 })
	f := newFakeStore()
	a := &announcer{state: s, store: f, log: s.log}
	report := dogtarget.Heartbeat{ID: "i-1", Service: "rounds", Address: "10.0.0.1:80", Born: 1, Sequence: 1, Slots: 4}
	var got []string
	note := func(what string) {
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
	note("before the first heartbeat")
	s.Beat(report)
	note("ready")
	report.Sequence++
	s.Beat(report)
	note("another heartbeat")
	s.Lost("i-1")
	note("lost for a moment")
	report.Sequence++
	report.Draining = true
	s.Beat(report)
	note("draining")
	s.Leave("i-1")
	note("left")
	want := []string{
		"before the first heartbeat: starting, 0 writes", "ready: ready, 1 writes", "another heartbeat: ready, 1 writes",
		"lost for a moment: ready, 1 writes", "draining: draining, 2 writes", "left: left, 3 writes",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("entries (-want +got):\n%s", diff)
	}
}

// TestAnnounceConflict guards against a node that overwrites an entry that it
// has not seen, and that never gets over it.
func TestAnnounceConflict(t *testing.T) {
	s := testState(t, func() int64 { return 1 })
	f := newFakeStore()
	f.revision = 6
	f.objects["rounds-1"] = dogwoodford.Object{Name: "rounds-1", Version: 6, Value: []byte(`{"node":"rounds-1","state":2}`)}
	a := &announcer{state: s, store: f, log: s.log}
	s.setListed()
	s.Beat(dogtarget.Heartbeat{ID: "i-1", Service: "rounds", Address: "10.0.0.1:80", Born: 1, Sequence: 1, Slots: 4})
	if err := a.write(t.Context()); err == nil {
		t.Error("an entry that was not seen is overwritten")
	}
	s.put(dogfleet.Entry{Node: "rounds-1", State: dogwoodford.Draining}, 6)
	if err := a.write(t.Context()); err != nil {
		t.Errorf("write after the entry was seen: %v", err)
	}
}

// plainDialect reads a configuration that is only a version.
type plainDialect struct{}

func (plainDialect) Headers() dogrelay.Headers      { return dogrelay.Headers{} }
func (plainDialect) ConfigObject() (string, string) { return "config", "main" }
func (plainDialect) Control(Beats) http.Handler     { return http.NotFoundHandler() }
func (plainDialect) Ready(func() bool) http.Handler { return http.NotFoundHandler() }
func (plainDialect) ParseConfig(v []byte) (dogtable.Spec, error) {
	var s dogtable.Spec
	if err := json.Unmarshal(v, &s.Version); err != nil {
		return s, fmt.Errorf("version: %w", err)
	}
	return s, nil
}

// TestConfigs guards against a configuration that goes back or that cannot be
// read, from the store or from another node.
func TestConfigs(t *testing.T) {
	log := newLogger(io.Discard, "rounds-1")
	defer log.close()
	c := &configs{dialect: plainDialect{}, log: log, tables: new(dogtable.Holder), split: dogtable.NewSplit()}
	var got []int64
	for _, value := range []string{"3", "x", "2", "0", "7", "5"} {
		c.offer([]byte(value), "store")
		got = append(got, c.tables.Version())
	}
	if diff := cmp.Diff([]int64{3, 3, 3, 3, 7, 7}, got); diff != "" {
		t.Errorf("versions in force (-want +got):\n%s", diff)
	}
}

// TestSilentNode guards against requests that wait for a node that went dark.
func TestSilentNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := testState(t, func() int64 { return 1 })
		var asked atomic.Int64
		s.ask = func(dogfleet.Entry) bool { return asked.Add(1) < 2 }
		s.put(dogfleet.Entry{Node: "depot-1", Service: "depot", State: dogwoodford.Ready}, 1)
		alive := s.Alive("depot-1")
		s.Sent("depot-1")
		time.Sleep(200 * time.Millisecond)
		if asked.Load() != 1 || alive.Err() != nil {
			t.Errorf("after 200 ms: asked %d times, alive %v; want once and alive", asked.Load(), alive.Err())
		}
		time.Sleep(200 * time.Millisecond)
		if asked.Load() != 2 || alive.Err() == nil {
			t.Errorf("after 400 ms: asked %d times, alive %v; want twice and dark", asked.Load(), alive.Err())
		}
		s.Heard("depot-1", false)
		time.Sleep(time.Second)
		if asked.Load() != 2 {
			t.Errorf("asked %d times with no request in progress", asked.Load())
		}
	})
}

// TestReload guards against a retry budget that does not follow the settings.
func TestReload(t *testing.T) {
	s := testState(t, func() int64 { return 1 })
	s.First("depot")
	if s.Allow("depot", true) {
		t.Error("an attempt is allowed without a budget")
	}
	next := testSettings()
	next.RetrySlack, next.Grace = 100, time.Second
	if !s.apply(next) || s.grace() != time.Second || !s.Allow("depot", true) {
		t.Error("the settings were not taken over")
	}
	if s.apply(next) {
		t.Error("settings that are the same count as changed")
	}
}
