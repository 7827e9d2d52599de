package doghttp

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodford"
	"dogwoodford/core/request/dogcall"
	"dogwoodford/io/request/doggate"
)

// serveTarget starts a mesh whose targets run h.
func serveTarget(t *testing.T, h http.HandlerFunc) *mesh {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return newMesh(t, strings.TrimPrefix(s.URL, "http://"))
}

func do(t *testing.T, r *http.Request) string {
	t.Helper()
	return describe(http.DefaultTransport.RoundTrip(r))
}

// Guards against bodies that are held back until they are complete, and against
// bodies that are modified on the way.
func TestBodiesStreamBothWays(t *testing.T) {
	m := serveTarget(t, func(w http.ResponseWriter, r *http.Request) {
		http.NewResponseController(w).EnableFullDuplex()
		buf := make([]byte, 1000)
		for {
			n, err := r.Body.Read(buf)
			w.Write(buf[:n])
			http.NewResponseController(w).Flush()
			if err != nil {
				return
			}
		}
	})
	pr, pw := io.Pipe()
	first := bytes.Repeat([]byte("a"), 64<<10)
	go pw.Write(first)
	resp, err := http.DefaultTransport.RoundTrip(newRequest(t, "POST", m.entry+"/rounds/photos", pr))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	got := make([]byte, len(first))
	if _, err := io.ReadFull(resp.Body, got); err != nil || !bytes.Equal(got, first) {
		t.Fatalf("first part: error %v", err)
	}
	// Each further part is written only after the previous one has come back.
	for i := range 40 {
		part := bytes.Repeat([]byte{byte('b' + i%20)}, 10_000)
		go pw.Write(part)
		got = make([]byte, len(part))
		if _, err := io.ReadFull(resp.Body, got); err != nil || !bytes.Equal(got, part) {
			t.Fatalf("part %d: error %v", i, err)
		}
	}
	pw.Close()
	if rest, err := io.ReadAll(resp.Body); err != nil || len(rest) > 0 {
		t.Errorf("%d bytes too many, error %v", len(rest), err)
	}
}

// Guards against a truncated request body that reaches the target as complete,
// and against a body beyond the size limit of its class.
func TestBrokenUploads(t *testing.T) {
	var whole atomic.Int32
	ended := make(chan error, 1)
	m := serveTarget(t, func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		if err == nil {
			whole.Add(1)
		}
		ended <- err
	})
	pr, pw := io.Pipe()
	go func() {
		pw.Write(make([]byte, 100<<10))
		pw.CloseWithError(errors.New("caller fails"))
	}()
	if _, err := http.DefaultTransport.RoundTrip(newRequest(t, "POST", m.entry+"/rounds/photos", pr)); err == nil {
		t.Error("truncated upload got an answer after its caller failed")
	}
	if err := <-ended; err == nil {
		t.Error("target received a truncated upload as complete")
	}
	// Without a declared length, only the bytes themselves reveal that the body
	// is too long.
	long := io.MultiReader(bytes.NewReader(make([]byte, 4<<20)), strings.NewReader("x"))
	got := do(t, newRequest(t, "POST", m.entry+"/rounds/photos", long))
	if err := <-ended; err == nil || whole.Load() != 0 || strings.HasPrefix(got, "2") {
		t.Errorf("body beyond the limit: target error %v, answer %s", err, got)
	}
	if got := do(t, newRequest(t, "POST", m.entry+"/rounds/photos", bytes.NewReader(make([]byte, 5<<20)))); got != "413 not-run too-large -" {
		t.Errorf("declared body beyond the limit: %s", got)
	}
}

// Guards against answers that reach another caller when many are returned out
// of order and some connections break.
func TestEachCallerGetsItsOwnAnswer(t *testing.T) {
	var n atomic.Int32
	m := serveTarget(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if n.Add(1)%7 == 0 {
			panic(http.ErrAbortHandler)
		}
		io.WriteString(w, r.URL.RequestURI()+" ")
		w.Write(body)
	})
	var wg sync.WaitGroup
	var ran atomic.Int32
	for i := range 200 {
		wg.Go(func() {
			path, body := fmt.Sprintf("/sheets/%d?q=%%2f", i), strings.Repeat(fmt.Sprint(i), 1+i*20)
			got := do(t, newRequest(t, "POST", m.entry+"/rounds"+path, strings.NewReader(body)))
			switch got {
			case "200 ran - " + path + " " + body:
				ran.Add(1)
			case "502 unknown lost -":
			default:
				t.Errorf("request %d got %.80q", i, got)
			}
		})
	}
	wg.Wait()
	if ran.Load() < 100 {
		t.Errorf("%d of 200 ran", ran.Load())
	}
}

// Guards against child calls that take more retries than their parent request
// has, and against "not run" for a request that made a child call.
func TestChildCalls(t *testing.T) {
	var m *mesh
	var child, unknownToken string
	m = serveTarget(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/child" {
			fmt.Fprintf(w, "retries=%s key=%d", r.Header.Get(dogcall.HeaderRetries), len(r.Header.Values(dogcall.HeaderKey)))
			return
		}
		out, _ := http.NewRequestWithContext(r.Context(), "POST", m.exits[0]+"/rounds/child", nil)
		out.Header.Set(dogcall.HeaderRetries, "99")
		out.Header.Set(dogcall.HeaderRequest, "guess")
		unknownToken = do(t, out)
		out.Header.Set(dogcall.HeaderRequest, r.Header.Get(dogcall.HeaderRequest))
		out.Header.Set(dogcall.HeaderKey, r.Header.Get(dogcall.HeaderKey))
		child = do(t, out)
		w.Header().Set(dogcall.HeaderOutcome, "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	got := do(t, newRequest(t, "POST", m.entry+"/rounds/invoices", nil))
	// All 3 units of the budget reach the target; the child call gets 2 of
	// them.
	if child != "200 ran - retries=2 key=0" || unknownToken != "401 not-run credential -" || got != "503 ran - -" {
		t.Errorf("child %q, with an unknown token %q, request %q", child, unknownToken, got)
	}
	if !slices.Contains(m.events, EventUnknownToken) {
		t.Errorf("events %v without %s", m.events, EventUnknownToken)
	}
}

// callChild makes a child call of the request r that a target received.
func callChild(t *testing.T, m *mesh, r *http.Request, path string) {
	token := r.Header.Get(dogcall.HeaderRequest)
	exit := m.exits[0]
	if m.nodes[1].lookup(token) != nil {
		exit = m.exits[1]
	}
	// The context of r is not used, so that only the exit can end the child
	// call.
	out := newRequest(t, r.Method, exit+"/rounds"+path, nil)
	out.Header.Set(dogcall.HeaderRequest, token)
	do(t, out)
}

// Guards against retries that multiply over the hops of a call tree.
func TestRetriesOverHops(t *testing.T) {
	var m *mesh
	var runs, calls atomic.Int32
	m = serveTarget(t, func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		if r.URL.Path == "/4" {
			w.Header().Set(dogcall.HeaderOutcome, "not-run")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		var wg sync.WaitGroup
		for range 2 {
			calls.Add(1)
			wg.Go(func() { callChild(t, m, r, fmt.Sprintf("/%c", r.URL.Path[1]+1)) })
			if r.URL.Path != "/2" { // Units of the first child call may be returned.
				wg.Wait()
			}
		}
		wg.Wait()
		if r.Method == "GET" {
			panic(http.ErrAbortHandler) // Attempted at another target, because it is idempotent.
		}
		w.WriteHeader(http.StatusBadGateway)
	})
	for _, method := range []string{"GET", "POST"} {
		runs.Store(0)
		calls.Store(1)
		do(t, newRequest(t, method, m.entry+"/rounds/1", nil))
		if extra := runs.Load() - calls.Load(); extra < 1 || extra > 3 {
			t.Errorf("%s: %d attempts beyond the first, want 1 to 3", method, extra)
		}
	}
}

// Guards against child calls that continue after their customer request has
// ended.
func TestChildCallEndsWithItsParent(t *testing.T) {
	var m *mesh
	ctx, cancel := context.WithCancel(t.Context())
	childEnded := make(chan struct{})
	m = serveTarget(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/parent" {
			callChild(t, m, r, "/child")
			return
		}
		cancel()
		<-r.Context().Done()
		close(childEnded)
	})
	if _, err := http.DefaultTransport.RoundTrip(newRequest(t, "GET", m.entry+"/rounds/parent", nil).WithContext(ctx)); err == nil {
		t.Error("caller got an answer after it cancelled")
	}
	<-childEnded
}

// Guards against request trailers that are lost on the way, and against a
// request that lacks an announced trailer and is taken for complete.
func TestRequestTrailers(t *testing.T) {
	m := serveTarget(t, func(w http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		fmt.Fprintf(w, "X-Sum=%s %v", r.Trailer.Get("X-Sum"), err)
	})
	for _, c := range []struct {
		size int
		sum  []string
		want string
	}{
		{10, []string{"7"}, "200 ran - X-Sum=7 <nil>"},
		{100_000, []string{"7"}, "200 ran - X-Sum=7 <nil>"},
		{10, nil, "400 not-run bad-request -"},
	} {
		r := newRequest(t, "POST", m.entry+"/rounds/photos", io.MultiReader(bytes.NewReader(make([]byte, c.size))))
		r.Trailer = http.Header{"X-Sum": c.sum}
		if got := do(t, r); got != c.want {
			t.Errorf("%d bytes, trailer %q: got %q, want %q", c.size, c.sum, got, c.want)
		}
	}
}

// Guards against a second run of one key: resent by the caller, at once or
// later, or dispatched twice to a guard.
func TestAtMostOnce(t *testing.T) {
	var runs atomic.Int32
	m := serveTarget(t, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintf(w, "run %d", runs.Add(1)) })
	key := dogwoodford.MakeKey(now(), 1, 2)
	send := func() string {
		r := newRequest(t, "POST", m.entry+"/rounds/invoices", nil)
		r.Header.Set(dogcall.HeaderKey, key.String())
		return do(t, r)
	}
	if a, b := send(), send(); a != "200 ran - run 1" || b != a {
		t.Errorf("first %q, again %q", a, b)
	}
	dispatch := func(key dogwoodford.Key, peerKey string) string {
		r := newRequest(t, "POST", "http://"+m.targets[0].Peer+"/rounds/invoices", nil)
		dogcall.Peer{PeerKey: peerKey, Epoch: 1, Spec: dogwoodford.RequestSpec{
			Customer: "firm-1", Root: "r", Key: key, Deadline: now().Add(time.Minute),
		}}.Format(r.Header, now())
		return do(t, r)
	}
	old := dogwoodford.MakeKey(now().Add(-11*time.Minute), 1, 2)
	for _, c := range []struct{ got, want string }{
		{dispatch(key, peerKey), "409 unknown duplicate -"},
		{dispatch(old, peerKey), "409 unknown key-age -"},
		{dispatch(dogwoodford.MakeKey(now(), 3, 4), "wrong key of a peer"), "401 not-run credential -"},
	} {
		if c.got != c.want {
			t.Errorf("dispatch got %q, want %q", c.got, c.want)
		}
	}
	if runs.Load() != 1 {
		t.Errorf("%d runs", runs.Load())
	}
}

// Guards against a panic that affects other requests, or that leaves the slots
// and records of its request in use.
func TestPanicAnswersOneRequest(t *testing.T) {
	m := serveTarget(t, func(http.ResponseWriter, *http.Request) {})
	for _, in := range []string{"router", "pressure"} {
		m.panics = in
		first := do(t, newRequest(t, "POST", m.entry+"/rounds/sheets/1", nil))
		second := do(t, newRequest(t, "POST", m.entry+"/rounds/sheets/1", nil))
		if first != "500 unknown internal -" || second != "200 ran - -" || !slices.Contains(m.events, EventPanic) {
			t.Errorf("panic in %s: first %q, second %q, events %v", in, first, second, m.events)
		}
	}
	for _, h := range m.nodes {
		if l := h.cfg.Gate.Load(); l.InFlight != 0 || len(h.DigestsInProgress()) != 0 {
			t.Errorf("in flight %d, in progress %d", l.InFlight, len(h.DigestsInProgress()))
		}
	}
}

// Guards against queued requests that remain after their caller has
// disconnected, and against slots that are lost when admission and cancellation
// coincide.
func TestGateDropsRequestsWhoseCallerLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := doggate.NewGate(&admission{limit: 1, c: &control{}})
		request := func(id string) dogwoodford.Request {
			return dogwoodford.NewRequest(dogwoodford.RequestSpec{ID: id})
		}
		if v := g.Enter(t.Context(), request("a")); v.Action() != dogwoodford.Run {
			t.Fatal("first request does not run")
		}
		ctx, cancel := context.WithCancel(t.Context())
		gone := make(chan dogwoodford.Verdict)
		go func() { gone <- g.Enter(ctx, request("b")) }()
		short, stop := context.WithTimeout(t.Context(), time.Second)
		defer stop()
		late := make(chan dogwoodford.Verdict)
		go func() { late <- g.Enter(short, request("c")) }()
		synctest.Wait()
		if l := g.Load(); l.Queued != 2 {
			t.Fatalf("%d queued, want 2", l.Queued)
		}
		cancel()
		if v := <-gone; v.Reason() != dogwoodford.ReasonCancelled {
			t.Errorf("caller cancelled: %v", v)
		}
		if v := <-late; v.Reason() != dogwoodford.ReasonDeadline {
			t.Errorf("deadline passed: %v", v)
		}
		g.Leave("a", dogwoodford.Sample{})
		if l := g.Load(); l.Queued != 0 || l.InFlight != 0 {
			t.Errorf("load %+v, want none", l)
		}
	})
}

// BenchmarkCall compares calls through entry, guard and target, over three
// connections, with calls to the target itself.
func BenchmarkCall(b *testing.B) {
	for _, size := range []int{100, 10 << 10, 1 << 20} {
		data := make([]byte, size)
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Write(data) }))
		b.Cleanup(s.Close)
		m := newMesh(b, strings.TrimPrefix(s.URL, "http://"))
		for _, to := range []struct{ name, url string }{{"direct", s.URL}, {"mesh", m.entry}} {
			b.Run(fmt.Sprintf("%s/bytes=%d", to.name, size), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					resp, err := http.DefaultTransport.RoundTrip(newRequest(b, "GET", to.url+"/rounds/sheets/1", nil))
					if err != nil {
						b.Fatal(err)
					}
					io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
				}
			})
		}
	}
}

func ExampleNew() {
	defer func() { fmt.Println(recover()) }()
	New(Config{Name: "rounds-1"})
	// Output: doghttp: name, service, target address and peer key are required
}

// Guards against a refusal that is lost, so that "not run" becomes "unknown",
// because the sender is still writing the body when the connection is closed.
func TestLargeUploadIsRefusedAsNotRun(t *testing.T) {
	m := serveTarget(t, func(http.ResponseWriter, *http.Request) { t.Error("target was reached") })
	m.flags["draining"] = true
	for i := range 20 {
		// The server reads only the shorter bodies to their end.
		size := []int{3 << 20, 200 << 10}[i%2]
		got := do(t, newRequest(t, "POST", m.entry+"/rounds/photos", bytes.NewReader(make([]byte, size))))
		if got != "503 not-run draining -" {
			t.Errorf("upload %d: %s", i, got)
		}
	}
}

// Guards against refusals while a key range changes its owner: the next owner
// must be asked, without spending a unit of the retry budget, and a key given
// by the caller must be kept.
func TestRangeOwnershipChange(t *testing.T) {
	for _, given := range []string{"", dogwoodford.MakeKey(time.Now(), 1, 2).String()} {
		var runs atomic.Int32
		m := serveTarget(t, func(w http.ResponseWriter, r *http.Request) {
			runs.Add(1)
			fmt.Fprint(w, r.Header.Get(dogcall.HeaderRetries))
		})
		m.wrongOwners = 2
		r := newRequest(t, "POST", m.entry+"/rounds/invoices", strings.NewReader("invoice"))
		if given != "" {
			r.Header.Set(dogcall.HeaderKey, given)
			r.Header.Set(dogcall.HeaderAttempt, "1")
		}
		// All three units of the class reach the target.
		if got := do(t, r); got != "200 ran - 3" || runs.Load() != 1 {
			t.Errorf("key %q: got %q after %d runs", given, got, runs.Load())
		}
		if _, ok := m.records[mustKey(t, given)]; given != "" && !ok {
			t.Errorf("key %s was replaced", given)
		}
	}
}

func mustKey(t *testing.T, s string) dogwoodford.Key {
	t.Helper()
	if s == "" {
		return dogwoodford.Key{}
	}
	k, err := dogwoodford.ParseKey(s)
	if err != nil {
		t.Fatal(err)
	}
	return k
}
