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

// fakePlatform is an in-memory object service.
type fakePlatform struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]dogwoodford.Object
	putCount int
	// onGet and onPut, if set, run before a call, which fails with their error.
	// onPut receives the number of the call, from 1; lost means that only the
	// answer is lost and the write takes effect.
	onGet func() error
	onPut func(n int) (lost bool, err error)
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{objects: make(map[string]dogwoodford.Object)}
}

func (p *fakePlatform) Get(_ context.Context, name string) (dogwoodford.Object, error) {
	if p.onGet != nil {
		if err := p.onGet(); err != nil {
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
	p.putCount++
	n := p.putCount
	p.mu.Unlock()
	if p.onPut != nil {
		if lost, err := p.onPut(n); err != nil {
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

// overwriteContract writes a contract regardless of its version, as a write by
// another operator.
func (p *fakePlatform) overwriteContract(t *testing.T, customer string, text []byte) {
	t.Helper()
	o, err := p.Get(t.Context(), ContractPrefix+customer)
	if err != nil && !errors.Is(err, dogwoodford.ErrNotFound) {
		t.Fatal(err)
	}
	if _, err := p.write(ContractPrefix+customer, o.Version, text); err != nil {
		t.Fatal(err)
	}
}

func (p *fakePlatform) Watch(context.Context, string, int64) ([]dogwoodford.Object, int64, error) {
	return nil, 0, dogwoodford.ErrUnavailable
}

// metricsPrefix is the prefix of the addresses under which fakeNodes holds metrics.
const metricsPrefix = "metrics "

// fakeNodes serves the status of nodes by address, without a network. An entry under
// metricsPrefix is a status whose only problem is the body of the metrics endpoint.
type fakeNodes map[string]func() dogstatus.Status

// RoundTrip implements http.RoundTripper.
func (n fakeNodes) RoundTrip(r *http.Request) (*http.Response, error) {
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
		if describe, ok := n[metricsPrefix+r.URL.Host]; ok {
			_, _ = w.WriteString(describe().Problems[0])
			break
		}
		http.NotFound(w, r)
	default:
		http.NotFound(w, r)
	}
	return w.Result(), nil
}

// release ends the quarantine of a digest at one node and records it as a problem.
func (n fakeNodes) release(host, digest string) {
	s := n[host]()
	s.Quarantines = slices.DeleteFunc(slices.Clone(s.Quarantines), func(q dogstatus.Quarantine) bool { return q.Digest == digest })
	s.Problems = append(s.Problems, "released "+digest)
	n[host] = func() dogstatus.Status { return s }
}

// releases returns the releases that nodes accepted, as address:digest.
func releases(n fakeNodes) (out []string) {
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

// commandResult is the exit code and the output of a command.
type commandResult struct {
	code           int
	stdout, stderr string
}

// runCommand runs a command line with the platform p and the nodes ns.
func runCommand(t *testing.T, p *fakePlatform, ns fakeNodes, args ...string) commandResult {
	t.Helper()
	var stdout, stderr bytes.Buffer
	code := Main(t.Context(), append([]string{"dogwoodford"}, args...), Options{
		Stdout:       &stdout,
		Stderr:       &stderr,
		DialPlatform: func(string) (dogwoodford.Platform, error) { return p, nil },
		RunNode:      func(context.Context, dogsettings.Settings) error { return nil },
		Client:       &http.Client{Transport: ns},
	})
	return commandResult{code, stdout.String(), stderr.String()}
}

const sampleFile = "../../../contracts/consortium/firm-1.ini"

// contractText returns the sample contract with the given generation and value of
// resend_burst.
func contractText(t *testing.T, generation int64, burst string) []byte {
	t.Helper()
	data, err := os.ReadFile(sampleFile)
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
