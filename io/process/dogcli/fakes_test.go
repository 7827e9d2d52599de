package dogcli

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"strings"
	"sync"
	"testing"

	"dogwoodford"
	"dogwoodford/core/version/dogcontract"
	"dogwoodford/io/process/dogsettings"
	"dogwoodford/io/process/dogstatus"
)

// fakePlatform is an object service in memory.
type fakePlatform struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]dogwoodford.Object
	puts     int
	// get and put, if set, run before a call and may answer it with an error.
	// put is told the number of the call; lost means that the write takes
	// effect all the same.
	get func() error
	put func(n int) (lost bool, err error)
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{objects: make(map[string]dogwoodford.Object)}
}

func (p *fakePlatform) Get(_ context.Context, name string) (dogwoodford.Object, error) {
	if p.get != nil {
		if err := p.get(); err != nil {
			return dogwoodford.Object{}, err
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	o, ok := p.objects[name]
	if !ok {
		return dogwoodford.Object{}, dogwoodford.ErrNotFound
	}
	return o, nil
}

func (p *fakePlatform) List(_ context.Context, prefix string) ([]dogwoodford.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []dogwoodford.Object
	for name, o := range p.objects {
		if strings.HasPrefix(name, prefix) {
			out = append(out, o)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out, nil
}

func (p *fakePlatform) Put(_ context.Context, name string, expected int64, value []byte) (int64, error) {
	p.mu.Lock()
	p.puts++
	n := p.puts
	p.mu.Unlock()
	if p.put != nil {
		if lost, err := p.put(n); err != nil {
			if lost {
				_, _ = p.write(name, expected, value)
			}
			return 0, err
		}
	}
	return p.write(name, expected, value)
}

func (p *fakePlatform) write(name string, expected int64, value []byte) (int64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.objects[name].Version != expected {
		return 0, dogwoodford.ErrConflict
	}
	p.revision++
	p.objects[name] = dogwoodford.Object{Name: name, Version: p.revision, Value: value}
	return p.revision, nil
}

// force writes whatever the version is, as another operator does.
func (p *fakePlatform) force(t *testing.T, customer string, text []byte) {
	t.Helper()
	o, err := p.Get(t.Context(), ObjectPrefix+customer)
	if err != nil && !errors.Is(err, dogwoodford.ErrNotFound) {
		t.Fatal(err)
	}
	if _, err := p.write(ObjectPrefix+customer, o.Version, text); err != nil {
		t.Fatal(err)
	}
}

func (p *fakePlatform) Watch(context.Context, string, int64) ([]dogwoodford.Object, int64, error) {
	return nil, 0, dogwoodford.ErrUnavailable
}

// metrics is the address prefix under which nodes hold counters.
const metrics = "metrics "

// nodes serves the status of nodes by address, without a network. Under the
// prefix metrics it holds a status whose only problem is the text of metrics.
type nodes map[string]func() dogstatus.Status

// RoundTrip implements http.RoundTripper.
func (n nodes) RoundTrip(r *http.Request) (*http.Response, error) {
	describe, ok := n[r.URL.Host]
	if !ok {
		return nil, errors.New("connection refused")
	}
	w := httptest.NewRecorder()
	switch r.Method + " " + r.URL.Path {
	case "GET " + dogstatus.Path:
		dogstatus.Handler(describe).ServeHTTP(w, r)
	case "POST " + dogstatus.ReleasePath:
		n.release(r.URL.Host, r.FormValue("digest"))
		w.WriteHeader(http.StatusAccepted)
	case "GET " + dogstatus.MetricsPath:
		if describe, ok := n[metrics+r.URL.Host]; ok {
			_, _ = w.WriteString(describe().Problems[0])
			break
		}
		http.NotFound(w, r)
	default:
		http.NotFound(w, r)
	}
	return w.Result(), nil
}

// release ends the quarantine of a digest at one node.
func (n nodes) release(host, digest string) {
	s := n[host]()
	s.Quarantines = slices.DeleteFunc(slices.Clone(s.Quarantines), func(q dogstatus.Quarantine) bool { return q.Digest == digest })
	s.Problems = append(s.Problems, "released "+digest)
	n[host] = func() dogstatus.Status { return s }
}

// releases returns the releases that nodes took, as address:digest.
func releases(n nodes) (out []string) {
	for host, describe := range n {
		for _, p := range describe().Problems {
			if digest, ok := strings.CutPrefix(p, "released "); ok {
				out = append(out, host+":"+digest)
			}
		}
	}
	slices.Sort(out)
	return out
}

// result is how a command ended.
type result struct {
	code           int
	stdout, stderr string
}

// run runs a command line against p and ns.
func run(t *testing.T, p *fakePlatform, ns nodes, args ...string) result {
	t.Helper()
	var stdout, stderr bytes.Buffer
	code := Main(t.Context(), append([]string{"dogwoodford"}, args...), Options{
		Stdout:   &stdout,
		Stderr:   &stderr,
		Platform: func(string) (dogwoodford.Platform, error) { return p, nil },
		Run:      func(context.Context, dogsettings.Settings) error { return nil },
		Client:   &http.Client{Transport: ns},
	})
	return result{code, stdout.String(), stderr.String()}
}

const sample = "../../../contracts/consortium/firm-1.ini"

// contractText returns the sample contract with a generation and a limit.
func contractText(t *testing.T, generation int64, burst string) []byte {
	t.Helper()
	data, err := os.ReadFile(sample)
	if err != nil {
		t.Fatal(err)
	}
	data = bytes.Replace(data, []byte("resend_burst = 20"), []byte("resend_burst = "+burst), 1)
	out, err := dogcontract.SetGeneration(data, generation)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// contractFile writes contractText to a file and returns its path.
func contractFile(t *testing.T, generation int64, burst string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "firm-1.ini")
	if err := os.WriteFile(path, contractText(t, generation, burst), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
