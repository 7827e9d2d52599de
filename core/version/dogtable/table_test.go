package dogtable

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/tools/txtar"
)

func spec(version int64, routes ...RouteSpec) Spec {
	return Spec{Version: version, Routes: routes, Services: []Service{{Name: "orders"}, {Name: "stock"}}}
}

func route(name, host, prefix string, backends ...Backend) RouteSpec {
	return RouteSpec{
		Name: name, Host: host, Prefix: prefix, Timeout: time.Second, Attempts: 1, Backends: backends,
	}
}

// TestLookup guards against requests that are assigned the route of a shorter
// prefix or of another host. Each file of the archive defines routes and holds
// one line per request: host, path and wanted route.
func TestLookup(t *testing.T) {
	ar, err := txtar.ParseFile("testdata/lookup.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range ar.Files {
		t.Run(f.Name, func(t *testing.T) {
			if diff := cmp.Diff(string(f.Data), runLookups(t, string(f.Data))); diff != "" {
				t.Errorf("mismatch (-want +got):\n%s", diff)
			}
		})
	}
}

// runLookups returns the script with the names of the routes found.
func runLookups(t *testing.T, script string) string {
	var routes []RouteSpec
	var got strings.Builder
	for line := range strings.Lines(script) {
		w := strings.Fields(line)
		if w[0] == "route" {
			routes = append(routes, route(w[1], w[2], w[3], Backend{Service: "orders", Weight: 1}))
			got.WriteString(line)
			continue
		}
		table, err := New(spec(1, routes...))
		if err != nil {
			t.Fatal(err)
		}
		name := "none"
		if r, ok := table.Lookup(w[1], w[2]); ok {
			name = r.Name()
		}
		fmt.Fprintf(&got, "ask %s %s %s\n", w[1], w[2], name)
	}
	return got.String()
}

// TestInvalid guards against accepting tables whose requests could not be sent to
// any target.
func TestInvalid(t *testing.T) {
	one := Backend{Service: "orders", Weight: 1}
	for name, s := range map[string]Spec{
		"version":         spec(0),
		"no host":         spec(1, route("a", "", "/a/", one)),
		"prefix start":    spec(1, route("a", "h", "a/", one)),
		"prefix end":      spec(1, route("a", "h", "/a", one)),
		"no backend":      spec(1, route("a", "h", "/a/")),
		"unknown service": spec(1, route("a", "h", "/a/", Backend{Service: "x", Weight: 1})),
		"negative weight": spec(1, route("a", "h", "/a/", one, Backend{Service: "stock", Weight: -1})),
		"no weight":       spec(1, route("a", "h", "/a/", Backend{Service: "stock"})),
		"no timeout":      spec(1, RouteSpec{Name: "a", Host: "h", Prefix: "/a/", Attempts: 1, Backends: []Backend{one}}),
		"no attempt": spec(1, RouteSpec{
			Name: "a", Host: "h", Prefix: "/a/", Timeout: time.Second, Backends: []Backend{one},
		}),
	} {
		if _, err := New(s); !errors.Is(err, ErrTable) {
			t.Errorf("%s: error %v, want ErrTable", name, err)
		}
	}
}

// TestHolder guards against a late answer from the store that restores an older
// version.
func TestHolder(t *testing.T) {
	var h Holder
	var got []int64
	for _, v := range []int64{3, 2, 3, 7, 5} {
		table, err := New(spec(v))
		if err != nil {
			t.Fatal(err)
		}
		h.Offer(table)
		got = append(got, h.Version())
	}
	if diff := cmp.Diff([]int64{3, 3, 3, 7, 7}, got); diff != "" {
		t.Errorf("versions in force (-want +got):\n%s", diff)
	}
}

// TestSplit guards against shares that deviate from the weights within a short
// window, as random choice would allow.
func TestSplit(t *testing.T) {
	table, err := New(spec(1, route("a", "h", "/a/", Backend{"orders", 7}, Backend{"stock", 3})))
	if err != nil {
		t.Fatal(err)
	}
	r, _ := table.Lookup("h", "/a/b")
	s := NewSplit(rand.New(rand.NewPCG(1, 2)))
	for window := range 20 {
		n := 0
		for range 10 {
			if s.Choose(r) == "stock" {
				n++
			}
		}
		if n != 3 {
			t.Errorf("window %d: %d of 10 requests at the backend of weight 3", window, n)
		}
	}
}

// TestSplitOfFleet guards against a fleet whose nodes all send the first requests after a
// change of the configuration to the same backend.
func TestSplitOfFleet(t *testing.T) {
	table, err := New(spec(1, route("a", "h", "/a/", Backend{"orders", 7}, Backend{"stock", 3})))
	if err != nil {
		t.Fatal(err)
	}
	r, _ := table.Lookup("h", "/a/b")
	const nodes = 590
	for _, requests := range []int{1, 2, 5} {
		n := 0
		for node := range nodes {
			s := NewSplit(rand.New(rand.NewPCG(1, uint64(node))))
			for range requests {
				if s.Choose(r) == "stock" {
					n++
				}
			}
		}
		if share := float64(n) / float64(nodes*requests); math.Abs(share-0.3) > 0.05 {
			t.Errorf("%d requests at each node: share %.2f of the backend of weight 0.3", requests, share)
		}
	}
}

func BenchmarkLookup(b *testing.B) {
	for _, n := range []int{10, 400} {
		var routes []RouteSpec
		for i := range n {
			routes = append(routes, route(fmt.Sprint(i), "h", fmt.Sprintf("/p%d/", i), Backend{"orders", 1}))
		}
		table, err := New(spec(1, routes...))
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("routes=%d", n), func(b *testing.B) {
			for b.Loop() {
				table.Lookup("h", "/p7/x")
			}
		})
	}
}

func ExampleTable_Lookup() {
	t, err := New(spec(4, route("list", "shop.example", "/orders/", Backend{"orders", 1})))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return
	}
	r, ok := t.Lookup("shop.example:80", "/orders/17")
	fmt.Println(r.Name(), ok)
	// Output: list true
}
