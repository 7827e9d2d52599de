package dogplatform_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"dogwoodford"
	"dogwoodford/io/process/dogplatform"
)

func newClient(f *fake, seed uint64) *dogplatform.Client {
	return dogplatform.New(dogplatform.Options{
		Address: "127.0.0.1:7000", Transport: f, Rand: rand.New(rand.NewPCG(seed, 1)),
	})
}

// TestObjects guards against calls that deviate from the protocol of section 8.3.
func TestObjects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, c := t.Context(), newClient(newFake(), 1)
		if _, err := c.Get(ctx, "contract/firm-1"); !errors.Is(err, dogwoodford.ErrNotFound) {
			t.Errorf("get of a missing object: error %v, want not found", err)
		}
		v, err := c.Put(ctx, "contract/firm-1", 0, []byte("a"))
		if v != 1 || err != nil {
			t.Errorf("put: version %d, error %v, want 1", v, err)
		}
		if _, err := c.Put(ctx, "contract/firm-1", 0, []byte("b")); !errors.Is(err, dogwoodford.ErrConflict) {
			t.Errorf("put of an old version: error %v, want conflict", err)
		}
		if _, err := c.Put(ctx, "x", 0, make([]byte, dogwoodford.MaxObjectBytes+1)); !errors.Is(err, dogplatform.ErrTooLarge) {
			t.Errorf("put of a large value: error %v, want too large", err)
		}
		o, err := c.Get(ctx, "contract/firm-1")
		want := dogwoodford.Object{Name: "contract/firm-1", Version: 1, Value: []byte("a")}
		if diff := cmp.Diff(want, o); diff != "" || err != nil {
			t.Errorf("get: error %v, (-want +got):\n%s", err, diff)
		}
		list, err := c.List(ctx, "contract/")
		if diff := cmp.Diff([]dogwoodford.Object{want}, list); diff != "" || err != nil {
			t.Errorf("list: error %v, (-want +got):\n%s", err, diff)
		}
		if err := c.Delete(ctx, "contract/firm-1", 2); !errors.Is(err, dogwoodford.ErrConflict) {
			t.Errorf("delete of another version: error %v, want conflict", err)
		}
		if err := c.Delete(ctx, "contract/firm-1", 1); err != nil {
			t.Errorf("delete: %v", err)
		}
	})
}

// TestWatch guards against a watch that misses a change or ends without one.
func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, f := t.Context(), newFake()
		c := newClient(f, 1)
		go func() {
			time.Sleep(70 * time.Second) // Two watch requests of 30 s end without a change.
			if _, err := c.Put(ctx, "contract/a", 0, []byte("x")); err != nil {
				t.Errorf("put: %v", err)
			}
		}()
		objs, rev, err := c.Watch(ctx, "contract/", 0)
		if len(objs) != 1 || rev != 1 || err != nil {
			t.Fatalf("watch: %d objects, revision %d, error %v, want one at revision 1", len(objs), rev, err)
		}
		if n := c.Counts().Calls; n != 4 {
			t.Errorf("%d calls, want 3 waits and 1 write", n)
		}
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		if _, _, err := c.Watch(ctx, "contract/", rev); !errors.Is(err, dogwoodford.ErrUnavailable) {
			t.Errorf("watch past its deadline: error %v, want unavailable", err)
		}
	})
}

// TestLostResponse guards against a retried write, and against a lost response that
// is reported as a failure without effect.
func TestLostResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		c := newClient(f, 1)
		f.loseNextResponse = true
		if _, err := c.Put(t.Context(), "a", 0, []byte("x")); !errors.Is(err, dogwoodford.ErrUnavailable) {
			t.Errorf("put: error %v, want unavailable", err)
		}
		if len(f.calls) != 1 {
			t.Errorf("%d calls, want 1", len(f.calls))
		}
		f.loseNextResponse = true
		o, err := c.Get(t.Context(), "a")
		if o.Version != 1 || err != nil || c.Counts().Retries != 1 {
			t.Errorf("get: version %d, error %v, %d retries, want version 1 after one retry", o.Version, err, c.Counts().Retries)
		}
	})
}

// TestBadResponses guards against malformed responses that are accepted as
// objects, and against a client that waits too long for a service that hangs.
func TestBadResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, set := range []func(f *fake){
			func(f *fake) { f.body = "<html>" },
			func(f *fake) { f.body = `{"name":"b","version":1}` },
			func(f *fake) { f.body = `{"name":"a"}` },
			func(f *fake) { f.status = http.StatusFound },
			func(f *fake) { f.hang = true },
		} {
			f := newFake()
			set(f)
			begun := time.Now()
			if _, err := newClient(f, 1).Get(t.Context(), "a"); !errors.Is(err, dogwoodford.ErrUnavailable) {
				t.Errorf("get: error %v, want unavailable", err)
			}
			if d := time.Since(begun); d > 10*time.Second {
				t.Errorf("get took %v, beyond three attempts of 2 s", d)
			}
		}
	})
}

// TestConcurrent guards against an unlimited number of concurrent calls.
func TestConcurrent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		c := newClient(f, 1)
		var wg sync.WaitGroup
		for range 100 {
			wg.Go(func() {
				if _, err := c.List(t.Context(), ""); err != nil {
					t.Errorf("list: %v", err)
				}
			})
		}
		wg.Wait()
		if f.maxRunning > 4 {
			t.Errorf("%d concurrent calls, want at most 4", f.maxRunning)
		}
	})
}

// TestOutage guards against an overload at the end of an outage: clients that
// call continuously have to resume at different times, each with at most about
// one call per second at first, and all of them within 16 s.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const clients = 60
		f := newFake()
		f.status = http.StatusServiceUnavailable
		ctx, cancel := context.WithCancel(t.Context())
		recovered := make(chan time.Time, clients)
		for i := range clients {
			c := newClient(f, uint64(i))
			go callRepeatedly(ctx, c, recovered)
		}
		time.Sleep(2 * time.Minute)
		f.mu.Lock()
		during := perSecond(f.calls, time.Now().Add(-time.Minute))
		f.status, f.calls = 0, nil
		f.mu.Unlock()
		end := time.Now()
		var last time.Duration
		for range clients {
			last = max(last, (<-recovered).Sub(end))
		}
		f.mu.Lock()
		after := perSecond(f.calls, end)
		f.mu.Unlock()
		cancel()
		synctest.Wait()
		t.Logf("calls in the busiest second of the outage: %d; in the seconds after it: %v; last client recovered after %v",
			slices.Max(during), after, last)
		if n := slices.Max(during); n > clients/2 {
			t.Errorf("%d calls in a second of the outage, want at most %d", n, clients/2)
		}
		for i, n := range after[:4] {
			if n > clients {
				t.Errorf("%d calls in second %d after the outage, want at most %d", n, i, clients)
			}
		}
		// Without an outage each client makes about 9 calls per second.
		if n := slices.Max(after); n > 10*clients {
			t.Errorf("%d calls in a second after the outage, want at most %d", n, 10*clients)
		}
		if last > 16*time.Second {
			t.Errorf("last client recovered after %v, want at most 16s", last)
		}
	})
}

// callRepeatedly calls c until ctx is done, 100 ms after the end of the previous
// call, and sends the time of the first success to recovered.
func callRepeatedly(ctx context.Context, c *dogplatform.Client, recovered chan<- time.Time) {
	for first := true; ctx.Err() == nil; {
		_, err := c.List(ctx, "contract/")
		if err == nil && first {
			first = false
			recovered <- time.Now()
		}
		_ = sleepCtx(ctx, 100*time.Millisecond)
	}
}

func sleepCtx(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// perSecond returns the number of calls in each second, starting at since.
func perSecond(calls []time.Time, since time.Time) []int {
	counts := make([]int, 1)
	for _, c := range calls {
		if c.Before(since) {
			continue
		}
		k := int(c.Sub(since) / time.Second)
		for len(counts) <= k {
			counts = append(counts, 0)
		}
		counts[k]++
	}
	return counts
}
