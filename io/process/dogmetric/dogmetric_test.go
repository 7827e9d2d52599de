package dogmetric

import (
	"encoding/json"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestCatalogue guards against metrics without a description in docs/metrics.md,
// and against descriptions of metrics that do not exist.
func TestCatalogue(t *testing.T) {
	data, err := os.ReadFile("../../../docs/metrics.md")
	if err != nil {
		t.Fatal(err)
	}
	var got, want []string
	for line := range strings.Lines(string(data)) {
		f := strings.Split(strings.TrimSpace(line), " | ")
		if len(f) != 4 || strings.HasPrefix(f[0], "| name") {
			continue
		}
		if strings.TrimSpace(strings.TrimSuffix(f[3], "|")) == "" {
			t.Errorf("metric %s has no meaning", f[0])
		}
		got = append(got, strings.TrimPrefix(f[0], "| ")+" "+f[1]+" "+f[2])
	}
	for _, m := range Metrics() {
		want = append(want, m.Name()+" "+string(m.Kind())+" "+m.Unit())
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("code (-) and docs/metrics.md (+) differ:\n%s", diff)
	}
}

// TestSet guards against values that are lost, counted under another metric or
// label, or served as invalid JSON.
func TestSet(t *testing.T) {
	s := NewSet()
	s.Add(PeerMessages, 2)
	s.Add(PeerMessages, 3)
	s.Store(Members, 7)
	s.StoreTo(ContractGeneration, `a"b`, 4)
	for i := 1; i <= 100; i++ {
		s.Observe(TargetLatency, time.Duration(i)*time.Millisecond)
	}
	s.Observe(TargetLatency, time.Hour) // Above the range of the histogram.
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for i := range 2 * MaxLabels {
				s.AddTo(Requests, strconv.Itoa(i), 1)
			}
		})
	}
	wg.Wait()
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/debug/vars", nil))
	var vars struct {
		PeerMessages       int                               `json:"peer_messages"`
		Members            int                               `json:"members"`
		ContractGeneration map[string]int                    `json:"contract_generation"`
		Requests           map[string]int64                  `json:"requests"`
		Latency            struct{ Count, P50, Max float64 } `json:"target_latency"`
	}
	if err := json.Unmarshal(w.Body.Bytes(), &vars); err != nil {
		t.Fatalf("%v in %s", err, w.Body)
	}
	if vars.PeerMessages != 5 || vars.Members != 7 || vars.ContractGeneration[`a"b`] != 4 {
		t.Errorf("values %+v", vars)
	}
	if l := vars.Latency; l.Count != 101 || l.P50 < 49 || l.P50 > 52 || l.Max < 590_000 {
		t.Errorf("latency %+v", l)
	}
	var sum int64
	for _, n := range vars.Requests {
		sum += n
	}
	if sum != 16*MaxLabels || len(vars.Requests) > MaxLabels+1 {
		t.Errorf("%d counted under %d labels, want %d under at most %d", sum, len(vars.Requests), 16*MaxLabels, MaxLabels+1)
	}
	if got := s.ValueOf(Requests, "0"); got != 8 {
		t.Errorf("requests with label 0: %d, want 8", got)
	}
	if diff := cmp.Diff(int64(5), s.Value(PeerMessages)); diff != "" {
		t.Error(diff)
	}
}

// TestMisuse guards against a metric that is silently used as one of another kind
// or defined twice.
func TestMisuse(t *testing.T) {
	s := NewSet()
	for name, f := range map[string]func(){
		"Add":     func() { s.Add(Requests, 1) },
		"Store":   func() { s.Store(PeerMessages, 1) },
		"AddTo":   func() { s.AddTo(PeerMessages, "x", 1) },
		"StoreTo": func() { s.StoreTo(Requests, "x", 1) },
		"Observe": func() { s.Observe(PeerMessages, time.Second) },
		"define":  func() { define("members", Gauge, "nodes") },
	} {
		func() {
			defer func() {
				if recover() == nil {
					t.Errorf("%s of a wrong metric does not panic", name)
				}
			}()
			f()
		}()
	}
}

func BenchmarkSet(b *testing.B) {
	s := NewSet()
	b.Run("AddTo", func(b *testing.B) {
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				s.AddTo(Requests, "ran", 1)
			}
		})
	})
	b.Run("Observe", func(b *testing.B) {
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				s.Observe(TargetLatency, 12*time.Millisecond)
			}
		})
	})
}
