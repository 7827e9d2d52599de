package dogsidecar

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"dogwoodford"
	"dogwoodford/core/process/dogfleet"
	"dogwoodford/core/version/dogtable"
	"dogwoodford/io/connection/dogconn"
	"dogwoodford/io/process/dogmetric"
)

const testLifetime = 4750 * time.Millisecond

// fakeClock is a boot clock that also counts suspensions.
type fakeClock struct {
	start     time.Time
	suspended atomic.Int64
}

func newFakeClock() *fakeClock { return &fakeClock{start: time.Now()} }

// read returns the time since an hour before the clock was made.
func (c *fakeClock) read() time.Duration {
	return time.Hour + time.Since(c.start) + time.Duration(c.suspended.Load())
}

// suspend advances the clock alone, as the suspension of a process does.
func (c *fakeClock) suspend(d time.Duration) { c.suspended.Add(int64(d)) }

// freshNode is the part of a node that follows the configuration.
type freshNode struct {
	state   *state
	configs *configs
	keys    *freshness
	clock   *fakeClock
	peers   *peers
	log     *bytes.Buffer
	logger  *logger
}

func newFreshNode(name string) *freshNode {
	n := &freshNode{clock: newFakeClock(), log: new(bytes.Buffer)}
	n.logger = newLogger(n.log, name)
	metrics, tables := dogmetric.NewSet(), new(dogtable.Holder)
	s := testSettings()
	s.Node = name
	n.keys = newFreshness(testLifetime, n.clock.read, n.logger, metrics)
	n.state = newState(s, n.logger, tables.Version)
	n.state.setSlots = func(int) {}
	n.configs = &configs{
		dialect: plainDialect{}, log: n.logger, metrics: metrics, tables: tables, split: dogtable.NewSplit(newRand()), keys: n.keys,
	}
	n.peers = &peers{state: n.state, configs: n.configs, log: n.logger, keys: n.keys}
	return n
}

// trusted reports whether keys of the version in force are trusted.
func (n *freshNode) trusted() bool { return n.keys.Trusted(n.configs.tables.Version()) }

// watch runs the watch of the configuration until the returned function is called.
func (n *freshNode) watch(t *testing.T, store dogwoodford.Store) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- n.configs.newWatcher(store, n.state.configWait).Serve(ctx) }()
	return func() {
		cancel()
		<-done
		n.logger.close()
	}
}

// TestFreshByStore guards against keys that are refused while the store answers, that are
// trusted without an end while it does not, and against logs that do not tell.
func TestFreshByStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, f := newFreshNode("rounds-1"), newFakeStore()
		f.put("3")
		stop := n.watch(t, f)
		synctest.Wait()
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			if _, age, _ := n.keys.age(); !n.trusted() || age > 2*time.Second {
				t.Fatalf("trusted %v with an age of %v while the store answers", n.trusted(), age)
			}
		}
		f.setError(dogwoodford.ErrUnavailable)
		time.Sleep(2 * time.Second)
		if !n.trusted() {
			t.Error("not trusted 2 s after the last answer")
		}
		time.Sleep(testLifetime - 2*time.Second)
		if n.trusted() {
			t.Errorf("trusted %v after the store has failed", testLifetime)
		}
		f.setError(nil)
		time.Sleep(maxRetryPause + freshWait)
		if !n.trusted() {
			t.Error("not trusted although the store answers again")
		}
		stop()
		for _, want := range []string{"keys-trusted", "keys-untrusted"} {
			if !strings.Contains(n.log.String(), want) {
				t.Errorf("no line %q in the log", want)
			}
		}
	})
}

// TestFreshAfterSuspension guards against keys that are trusted after a suspension, which
// the monotonic clock of the runtime does not count, also if the answer to a watch from
// before it arrives then.
func TestFreshAfterSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, f := newFreshNode("rounds-1"), newFakeStore()
		f.put("3")
		stop := n.watch(t, f)
		synctest.Wait()
		time.Sleep(freshWait / 2) // A watch is pending.
		n.clock.suspend(10 * time.Second)
		if n.trusted() {
			t.Error("trusted after a suspension")
		}
		time.Sleep(freshWait / 2)
		synctest.Wait()
		if n.trusted() {
			t.Error("trusted by an answer to a question from before the suspension")
		}
		time.Sleep(configWait + freshWait)
		if !n.trusted() {
			t.Error("not trusted although the store answers")
		}
		stop()
	})
}

// TestFreshCalls guards against a bound on the trust in keys that costs more calls to the
// store than the watch costs without one.
func TestFreshCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, nodes := range []int{1, 91} {
			n, f := newFreshNode("rounds-1"), &countingStore{fakeStore: newFakeStore()}
			f.put("3")
			for i := range nodes {
				n.state.put(dogfleet.Entry{Node: fmt.Sprint("depot-", i), Service: "depot", State: dogwoodford.StateReady}, rev(1))
			}
			stop := n.watch(t, f)
			for range 10 * 100 {
				time.Sleep(100 * time.Millisecond)
				if nodes > 1 {
					n.state.ConfigSeen(3, "") // Ten a second.
					n.keys.observe(3, n.clock.read())
				}
			}
			stop()
			// 1.5 s between calls alone, 6.8 s on average among 91 nodes.
			if low, top := map[int]int{1: 60, 91: 12}[nodes], map[int]int{1: 68, 91: 18}[nodes]; f.watches < low || f.watches > top {
				t.Errorf("%d nodes: %d watches in 100 s, want %d to %d", nodes, f.watches, low, top)
			}
		}
	})
}

// TestFreshCallsInVain guards against a node that asks the store more often because it
// does not trust its keys, although the answers cannot help: there is no configuration.
func TestFreshCallsInVain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, f := newFreshNode("rounds-1"), &countingStore{fakeStore: newFakeStore()}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- n.peers.keepFresh(ctx) }()
		stop := n.watch(t, f)
		time.Sleep(100 * time.Second)
		cancel()
		<-done
		stop()
		if f.watches > 68 {
			t.Errorf("%d watches in 100 s, want at most 68", f.watches)
		}
	})
}

// BenchmarkTrusted measures what the check of a key costs more.
func BenchmarkTrusted(b *testing.B) {
	log := newLogger(io.Discard, "rounds-1")
	defer log.close()
	f := newFreshness(time.Hour, bootClock, log, dogmetric.NewSet())
	f.adopt(1)
	f.observe(1, f.read())
	for b.Loop() {
		if !f.Trusted(1) {
			b.Fatal("not trusted")
		}
	}
}

// countingStore counts watches. It is read after their end.
type countingStore struct {
	*fakeStore
	watches int
}

func (s *countingStore) Watch(ctx context.Context, kind string, after dogwoodford.Revision, wait time.Duration) ([]dogwoodford.Change, dogwoodford.Revision, error) {
	s.watches++
	return s.fakeStore.Watch(ctx, kind, after, wait)
}

// TestFreshOfInvalid guards against keys that are refused because somebody has written an
// invalid configuration, which leaves the one before in force, and against ones that are
// trusted although valid configurations may have come between that and an invalid one.
func TestFreshOfInvalid(t *testing.T) {
	n := newFreshNode("rounds-1")
	defer n.logger.close()
	v := &storeView{configs: n.configs}
	object := func(revision int64, value string) dogwoodford.StoreObject {
		return dogwoodford.StoreObject{Name: "main", Revision: rev(revision), Value: []byte(value)}
	}
	list := func(objects ...dogwoodford.StoreObject) { v.listed(objects) }
	change := func(o dogwoodford.StoreObject) { v.changed(dogwoodford.Change{Object: o}) }
	var got []string
	for _, step := range []struct {
		name string
		do   func()
	}{
		{"listed", func() { list(object(1, "1")) }},
		{"changed to an invalid one", func() { change(object(2, "x")) }},
		{"listed the same one", func() { list(object(2, "x")) }},
		{"listed another invalid one", func() { list(object(4, "y")) }},
		{"listed it again", func() { list(object(4, "y")) }},
		{"changed to a valid one", func() { change(object(5, "2")) }},
		{"listed none", func() { list() }},
		{"listed an older version", func() { list(object(7, "1")) }},
		{"listed a newer version", func() { list(object(8, "3")) }},
	} {
		n.clock.suspend(time.Hour)
		v.ask()
		step.do()
		v.answered()
		got = append(got, fmt.Sprintf("%s: version %d, trusted %v", step.name, n.configs.tables.Version(), n.trusted()))
	}
	want := []string{
		"listed: version 1, trusted true", "changed to an invalid one: version 1, trusted true",
		"listed the same one: version 1, trusted true", "listed another invalid one: version 1, trusted false",
		"listed it again: version 1, trusted false", "changed to a valid one: version 2, trusted true",
		"listed none: version 2, trusted false", "listed an older version: version 2, trusted false",
		"listed a newer version: version 3, trusted true",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("trust (-want +got):\n%s", diff)
	}
}

// TestFreshOfSeveralChanges guards against a version that counts as the newest at the moment
// before a question although the same answer shows that it had been replaced: a node that
// was away for long would accept the keys that the later version has removed.
func TestFreshOfSeveralChanges(t *testing.T) {
	n := newFreshNode("rounds-1")
	defer n.logger.close()
	v := &storeView{configs: n.configs}
	v.ask()
	v.listed([]dogwoodford.StoreObject{{Name: "main", Revision: rev(1), Value: []byte("1")}})
	v.answered()
	n.clock.suspend(time.Minute)
	v.ask()
	for i, value := range []string{"2", "3", "x"} {
		v.changed(dogwoodford.Change{Object: dogwoodford.StoreObject{Name: "main", Revision: rev(int64(i + 2)), Value: []byte(value)}})
		if n.keys.Trusted(2) {
			t.Errorf("keys of version 2 are trusted after %d changes", i+1)
		}
	}
	v.answered()
	if n.configs.tables.Version() != 3 || !n.keys.Trusted(3) || n.keys.Trusted(2) {
		t.Errorf("version %d in force, trusted %v, version 2 trusted %v; want 3, true and false",
			n.configs.tables.Version(), n.keys.Trusted(3), n.keys.Trusted(2))
	}
}

// serve answers control requests of other nodes to n.
func (n *freshNode) serve(t *testing.T) (addr string) {
	s := httptest.NewServer(n.peers.handler())
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// TestFreshByPeers guards against a node that refuses keys although others that reach the
// store vouch for them, against one that takes a configuration of another node for fresher
// than that node does, and against one that does not fetch a newer version.
func TestFreshByPeers(t *testing.T) {
	voucher, n := newFreshNode("depot-1"), newFreshNode("rounds-1")
	defer voucher.logger.close()
	defer n.logger.close()
	addr := voucher.serve(t)
	n.state.put(dogfleet.Entry{Node: "depot-1", Service: "depot", Peer: addr, State: dogwoodford.StateReady}, rev(1))
	n.peers.kept = dogconn.NewPeer(dogconn.Options{DialTimeout: time.Second})
	n.peers.transport = n.peers.kept

	voucher.keys.observe(3, voucher.clock.read())
	voucher.configs.offer([]byte("3"), "store")
	voucher.clock.suspend(3 * time.Second)
	n.configs.pull(t.Context(), n.peers, addr)
	version, age, ok := n.keys.age()
	if version != 3 || age < 3*time.Second || age > 4*time.Second || !ok || !n.trusted() {
		t.Errorf("version %d with an age of %v, known %v, after a pull; want 3 with 3 to 4 s", version, age, ok)
	}
	n.clock.suspend(testLifetime)
	n.peers.askFresh(t.Context(), "depot-1", addr)
	if !n.trusted() {
		t.Error("not trusted although another node vouches")
	}
	n.clock.suspend(testLifetime)
	voucher.clock.suspend(testLifetime)
	n.peers.askFresh(t.Context(), "depot-1", addr)
	if n.trusted() {
		t.Error("trusted by a node whose own knowledge is too old")
	}
	voucher.keys.observe(4, voucher.clock.read())
	voucher.configs.offer([]byte("4"), "store")
	n.peers.askFresh(t.Context(), "depot-1", addr)
	if n.trusted() {
		t.Error("trusted by a node with a newer version")
	}
	select {
	case from := <-n.state.newerConfigs:
		n.configs.pull(t.Context(), n.peers, from)
	default:
		t.Error("the newer version is not fetched")
	}
	if v := n.configs.tables.Version(); v != 4 || !n.trusted() {
		t.Errorf("version %d in force, trusted %v; want 4 and true", v, n.trusted())
	}
}

// TestFreshOfEarlierNodes guards against knowledge that is taken from a node without a
// bound on the trust in keys, which does not tell an age.
func TestFreshOfEarlierNodes(t *testing.T) {
	other, n := newFreshNode("depot-1"), newFreshNode("rounds-1")
	defer other.logger.close()
	defer n.logger.close()
	other.keys, other.configs.keys, other.peers.keys = nil, nil, nil
	addr := other.serve(t)
	n.peers.kept = dogconn.NewPeer(dogconn.Options{DialTimeout: time.Second})
	n.peers.transport = n.peers.kept
	other.configs.offer([]byte("3"), "store")
	n.configs.pull(t.Context(), n.peers, addr)
	n.peers.askFresh(t.Context(), "depot-1", addr)
	if v := n.configs.tables.Version(); v != 3 || n.trusted() {
		t.Errorf("version %d in force, trusted %v; want 3 and false", v, n.trusted())
	}
	resp, err := http.Get("http://" + addr + pingPath)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if h := resp.Header.Get("Dogwoodford-Fresh"); h != "" {
		t.Errorf("header %q of a node without a bound, want none", h)
	}
}

// TestKeepFresh guards against a node without a path to the store that does not ask the
// others in time, or asks them so often that it costs more than the requests.
func TestKeepFresh(t *testing.T) {
	voucher, n := newFreshNode("depot-1"), newFreshNode("rounds-1")
	defer voucher.logger.close()
	defer n.logger.close()
	var questions atomic.Int64
	handler := voucher.peers.handler()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		questions.Add(1)
		voucher.keys.observe(3, voucher.clock.read())
		handler.ServeHTTP(w, r)
	}))
	defer srv.Close()
	n.state.put(dogfleet.Entry{Node: "depot-1", Service: "depot", Peer: srv.Listener.Addr().String(), State: dogwoodford.StateReady}, rev(1))
	n.state.put(dogfleet.Entry{Node: "rounds-1", Service: "rounds", Peer: "127.0.0.1:1", State: dogwoodford.StateReady}, rev(2))
	n.peers.kept = dogconn.NewPeer(dogconn.Options{DialTimeout: time.Second})
	n.keys.observe(3, n.clock.read())
	n.configs.offer([]byte("3"), "store")
	voucher.configs.offer([]byte("3"), "store")
	n.clock.suspend(testLifetime - 100*time.Millisecond)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- n.peers.keepFresh(ctx) }()
	time.Sleep(time.Second)
	cancel()
	<-done
	if !n.trusted() {
		t.Error("not trusted although another node vouches")
	}
	if q := questions.Load(); q < 1 || q > 4 {
		t.Errorf("%d questions in a second, want one to four", q)
	}
}

// TestLapsedBySuspension guards against a node that waits for its timers, which were
// suspended with it, before it asks the others after a suspension.
func TestLapsedBySuspension(t *testing.T) {
	voucher, n := newFreshNode("depot-1"), newFreshNode("rounds-1")
	defer voucher.logger.close()
	defer n.logger.close()
	voucher.keys.observe(3, voucher.clock.read())
	voucher.configs.offer([]byte("3"), "store")
	addr := voucher.serve(t)
	n.state.put(dogfleet.Entry{Node: "depot-1", Service: "depot", Peer: addr, State: dogwoodford.StateReady}, rev(1))
	n.peers.kept = dogconn.NewPeer(dogconn.Options{DialTimeout: time.Second})
	n.keys.observe(3, n.clock.read())
	n.configs.offer([]byte("3"), "store")
	if !n.trusted() {
		t.Fatal("not trusted at the start")
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- n.peers.keepFresh(ctx) }()
	time.Sleep(50 * time.Millisecond) // It sleeps for 2 s.
	n.clock.suspend(10 * time.Second)
	if n.trusted() {
		t.Error("trusted after a suspension")
	}
	time.Sleep(time.Second)
	if !n.trusted() {
		t.Error("not trusted a second after a suspension although another node vouches")
	}
	cancel()
	<-done
}

// TestBootClock guards against a clock that does not advance or differs from the time
// that passes.
func TestBootClock(t *testing.T) {
	before, start := bootClock(), time.Now()
	time.Sleep(20 * time.Millisecond)
	if d := bootClock() - before - time.Since(start); d < -10*time.Millisecond || d > 10*time.Millisecond {
		t.Errorf("the boot clock differs by %v after 20 ms", d)
	}
}

// TestNoBound guards against any effect on a node that trusts keys without a bound.
func TestNoBound(t *testing.T) {
	log := newLogger(io.Discard, "rounds-1")
	defer log.close()
	n := newNode(testSettings(), plainDialect{}, newFakeStore(), io.Discard)
	defer n.log.close()
	w := n.configs.newWatcher(n.store, waitLong)
	if n.keys != nil || w.rest != nil || w.asked != nil || w.answered != nil || w.wait() != waitLong() {
		t.Error("a node without a bound watches the store as one with a bound")
	}
}
