package dogcall

import (
	"bufio"
	"errors"
	"fmt"
	"net/textproto"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/tools/txtar"

	"dogwoodford"
)

var now = time.UnixMilli(1_720_000_000_000)

// parseAndFormat parses text as headers of a kind and formats the result as
// sorted lines.
func parseAndFormat(kind, text string) string {
	in, err := textproto.NewReader(bufio.NewReader(strings.NewReader(text + "\n"))).ReadMIMEHeader()
	if err != nil {
		return "skip"
	}
	out := Header{}
	switch kind {
	case "caller":
		var c Claims
		if c, err = ParseClaims(in); err == nil {
			c.Format(out)
		}
	case "peer":
		var p Peer
		if p, err = ParsePeer(in, now); err == nil {
			p.Format(out, now)
		}
	case "answer":
		var a Answer
		if a, err = ParseAnswer(in); err == nil {
			a.FormatPeer(out)
		}
	}
	if err != nil {
		if !errors.Is(err, ErrHeader) {
			return "error without ErrHeader: " + err.Error()
		}
		return "error: " + err.Error() + "\n"
	}
	var lines []string
	for k, v := range out {
		lines = append(lines, k+": "+strings.Join(v, "|")+"\n")
	}
	slices.Sort(lines)
	return strings.Join(lines, "")
}

// Guards against headers that are parsed differently from how they were
// formatted, and against errors that do not name the header.
func TestParse(t *testing.T) {
	for _, kind := range []string{"caller", "peer", "answer"} {
		ar, err := txtar.ParseFile("testdata/" + kind + ".txtar")
		if err != nil {
			t.Fatal(err)
		}
		for i := 0; i+1 < len(ar.Files); i += 2 {
			name := strings.TrimSuffix(ar.Files[i].Name, "/in")
			t.Run(kind+"/"+name, func(t *testing.T) {
				got := parseAndFormat(kind, string(ar.Files[i].Data))
				if d := cmp.Diff(string(ar.Files[i+1].Data), got); d != "" {
					t.Error(d)
				}
			})
		}
	}
}

// Guards against panics, and against accepted headers that change when they are
// formatted and parsed again.
func FuzzParse(f *testing.F) {
	for _, kind := range []string{"caller", "peer", "answer"} {
		ar, err := txtar.ParseFile("testdata/" + kind + ".txtar")
		if err != nil {
			f.Fatal(err)
		}
		for i := 0; i < len(ar.Files); i += 2 {
			f.Add(kind, string(ar.Files[i].Data))
		}
	}
	f.Fuzz(func(t *testing.T, kind, text string) {
		once := parseAndFormat(kind, text)
		if once == "skip" || strings.HasPrefix(once, "error: ") {
			return
		}
		if twice := parseAndFormat(kind, once); once != twice {
			t.Errorf("formatted %q, parsed and formatted again %q", once, twice)
		}
	})
}

// Guards against a caller that raises its deadline, retries or importance.
func TestEntrySpec(t *testing.T) {
	limits := Limits{Class: "round-sheet", Importance: 7, Idempotent: true, Deadline: 2 * time.Second, Retries: 2}
	for _, c := range []struct{ claimed, want time.Duration }{
		{0, 2 * time.Second}, {time.Second, time.Second}, {time.Hour, 2 * time.Second},
	} {
		spec := EntrySpec(Claims{Customer: "firm-1", Deadline: c.claimed, Attempt: 3}, limits, now)
		if got := spec.Deadline.Sub(now); got != c.want || spec.Retries != 2 || spec.Importance != 7 || spec.Attempt != 3 {
			t.Errorf("claimed %v: deadline %v, want %v; spec %+v", c.claimed, got, c.want, spec)
		}
	}
	key := dogwoodford.MakeKey(now, 1, 2)
	if s := EntrySpec(Claims{Key: key}, limits, now); !s.Key.IsZero() || s.Root != key.String() {
		t.Errorf("idempotent request has key %v, root %q", s.Key, s.Root)
	}
}

// Guards against a child call that is not attributed to its customer request,
// that has a later deadline than its parent, or that recurses without bound.
func TestChild(t *testing.T) {
	parent := dogwoodford.NewRequest(dogwoodford.RequestSpec{
		ID: "p", Root: "root", Customer: "firm-1", Service: "rounds", Class: "round-sheet", Importance: 6,
		Deadline: now.Add(time.Second), Retries: 9, Digest: 5, Hop: 1, Attempt: 4,
	})
	spec, err := Child(parent, ChildSpec{Service: "depot", Idempotent: true, Retries: 3, ClaimedDeadline: time.Hour}, now)
	if err != nil {
		t.Fatal(err)
	}
	want := dogwoodford.RequestSpec{
		Root: "root", Customer: "firm-1", Service: "depot", Class: "round-sheet", Importance: 6, Idempotent: true,
		Deadline: now.Add(time.Second), Retries: 3, Hop: 2, Attempt: 1, ContentSize: -1,
	}
	if d := cmp.Diff(want, spec, cmp.AllowUnexported(dogwoodford.Key{})); d != "" {
		t.Error(d)
	}
	deep := parent.Spec()
	deep.Hop = MaxHop
	if _, err := Child(dogwoodford.NewRequest(deep), ChildSpec{}, now); !errors.Is(err, ErrHeader) {
		t.Errorf("hop %d: error %v, want ErrHeader", MaxHop+1, err)
	}
}

// Guards against sending a key to the target of a child call, which could
// repeat the key of its parent.
func TestFormatTargetOmitsKeyOfChildCalls(t *testing.T) {
	for hop, want := range map[int]int{0: 1, 1: 0} {
		h := Header{}
		FormatTarget(h, dogwoodford.RequestSpec{Key: dogwoodford.MakeKey(now, 1, 2), Hop: hop, Deadline: now}, "t", "", now)
		if got := len(h[HeaderKey]); got != want {
			t.Errorf("hop %d: %d keys, want %d", hop, got, want)
		}
	}
}

func ExampleParseClaims() {
	_, err := ParseClaims(Header{HeaderAttempt: {"first"}})
	fmt.Println(err)
	// Output: caller: header Dogwoodford-Attempt: is not a decimal number: bad header
}

func BenchmarkPeer(b *testing.B) {
	p := Peer{PeerKey: "0123456789abcdef", Spec: dogwoodford.RequestSpec{
		Customer: "firm-1", Class: "round-sheet", Root: "r1", Deadline: now.Add(time.Second), Digest: 7,
	}}
	for b.Loop() {
		h := make(Header, 12)
		p.Format(h, now)
		if _, err := ParsePeer(h, now); err != nil {
			b.Fatal(err)
		}
	}
}
