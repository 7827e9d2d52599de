package dogwoodford_test

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"dogwoodford"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/tools/txtar"
)

// Guards against accepting several text forms of one key, which would let one
// request run once per form, and against keys without an issue time.
func TestParseKey(t *testing.T) {
	ar, err := txtar.ParseFile("testdata/keys.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range ar.Files {
		t.Run(f.Name, func(t *testing.T) {
			lines := strings.Split(strings.TrimSpace(string(f.Data)), "\n")
			got := "error"
			if k, err := dogwoodford.ParseKey(lines[0]); err == nil {
				got = strconv.FormatInt(k.Issued().UnixMilli(), 10)
			}
			if diff := cmp.Diff(lines[1], got); diff != "" {
				t.Errorf("ParseKey(%q) mismatch (-want +got):\n%s", lines[0], diff)
			}
		})
	}
}

// Guards against an issue time or range that changes when a key is formatted
// and parsed, as two nodes would then disagree on the owner.
func TestKeyRoundTrip(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	issued := time.UnixMilli(1_764_840_000_123)
	for range 1000 {
		k := dogwoodford.MakeKey(issued, rng.Uint64(), rng.Uint64())
		got, err := dogwoodford.ParseKey(k.String())
		if err != nil {
			t.Fatal(err)
		}
		if got != k || got.Range() != k.Range() || !got.Issued().Equal(issued) {
			t.Fatalf("ParseKey(%q) = %v, range %d, issued %v", k, got, got.Range(), got.Issued())
		}
	}
}

// Guards against an uneven distribution of keys over ranges or of requests over
// ranks: one owner would get most keys, or one step of the cutoff would shed
// most of a class.
func TestSpread(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	const n = 128_000
	var ranges [dogwoodford.KeyRanges]int
	var ranks [dogwoodford.RankCount]int
	for range n {
		k := dogwoodford.MakeKey(time.UnixMilli(1_764_840_000_000), rng.Uint64(), rng.Uint64())
		ranges[k.Range()]++
		p := dogwoodford.NewPriority(3, k.String())
		if p.Importance() != 3 {
			t.Fatalf("importance of %d = %d, want 3", p, p.Importance())
		}
		ranks[int(p)%dogwoodford.RankCount]++
	}
	checkEven(t, "ranges", ranges[:], n)
	checkEven(t, "ranks", ranks[:], n)
}

// checkEven fails t if a cell is more than a quarter above or below the mean,
// which is about eight standard deviations for the smallest cell of TestSpread.
func checkEven(t *testing.T, name string, cells []int, n int) {
	t.Helper()
	mean := n / len(cells)
	for i, c := range cells {
		if c < mean*3/4 || c > mean*5/4 {
			t.Errorf("%s: cell %d has %d of %d, want about %d", name, i, c, n, mean)
		}
	}
}

// Guards against panics on untrusted keys and against accepted keys that are
// not formatted as they were given, apart from case.
func FuzzParseKey(f *testing.F) {
	f.Add("018f3c2a-7b1c-7abc-8def-0123456789ab")
	f.Add("")
	f.Add("018f3c2a-7b1c-7abc-8def-0123456789aZ")
	f.Fuzz(func(t *testing.T, s string) {
		k, err := dogwoodford.ParseKey(s)
		if err != nil {
			return
		}
		if k.String() != strings.ToLower(s) {
			t.Errorf("ParseKey(%q).String() = %q", s, k)
		}
		if r := k.Range(); r < 0 || r >= dogwoodford.KeyRanges {
			t.Errorf("ParseKey(%q).Range() = %d", s, r)
		}
	})
}
