package dogrange

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dogwoodford"

	"github.com/google/go-cmp/cmp"
)

// fixture drives the single node n0 with explicit events.
type fixture struct {
	t   *testing.T
	rs  *Ranges
	now int64
}

const t0 = simEpoch

func newFixture(t *testing.T, members ...Member) *fixture {
	t.Helper()
	f := &fixture{t: t, now: t0, rs: New(Config{Node: "n0", Incarnation: 7, Service: "s", DataCentre: "a", Peer: "p0"}, rand.New(rand.NewPCG(1, 1)))}
	for _, kr := range f.rs.ranges[1:] {
		kr.due = maxKeyMs
	}
	f.send(0, Members{Members: members})
	return f
}

func member(node string, inc uint64, dc string, state dogwoodford.State) Member {
	return Member{Node: node, Incarnation: inc, Service: "s", DataCentre: dc, Peer: "p" + node[1:], State: state}
}

func (f *fixture) send(after int64, ev Event) []Action {
	f.now += after
	return f.rs.OnEvent(time.UnixMilli(f.now), ev)
}

func first[T Action](acts []Action) (a T, ok bool) {
	for _, x := range acts {
		if a, ok = x.(T); ok {
			return a, true
		}
	}
	return a, false
}

// until sends ticks until the node returns an action of type T.
func until[T Action](f *fixture) T {
	f.t.Helper()
	for range 400 {
		if a, ok := first[T](f.send(100, Tick{})); ok {
			return a
		}
	}
	f.t.Fatalf("no %T in 40 s", *new(T))
	panic("unreachable")
}

// nextWrite answers reads with the value until the node writes, and returns that
// write, or zero values if the node does not write within 10 s.
func (f *fixture) nextWrite(version int64, value []byte) (WriteObject, Value) {
	f.t.Helper()
	for range 100 {
		acts := f.send(100, Tick{})
		for range 5 {
			if w, ok := first[WriteObject](acts); ok {
				v, err := ParseValue(w.Value)
				if err != nil {
					f.t.Fatal(err)
				}
				return w, v
			}
			r, ok := first[ReadObject](acts)
			if !ok {
				break
			}
			acts = f.send(1, ObjectRead{Op: r.Op, Object: dogwoodford.Object{Name: r.Name, Version: version, Value: value}})
		}
	}
	return WriteObject{}, Value{}
}

// learn puts the node in the state after a read of the value.
func (f *fixture) learn(version int64, v Value) []Action {
	kr := f.rs.ranges[0]
	kr.stale, kr.due = false, f.now+1
	acts := f.send(0, ObjectSeen{Object: dogwoodford.Object{Name: "range/s/0", Version: version, Value: v.Bytes()}})
	kr.stale, kr.due = false, 0
	return acts
}

func owned(epoch int64, owner string, inc uint64) Value {
	return Value{Epoch: epoch, Owner: owner, OwnerIncarnation: inc, OwnerPeer: "p" + owner[1:], Witness: "n2", WitnessIncarnation: 1, Start: t0 - 5000, End: t0 + 3000}
}

// TestRestoreAndMalformed guards against a node that returns to an older epoch
// after a restore, or that repairs a range that it does not own.
func TestRestoreAndMalformed(t *testing.T) {
	others := []Member{member("n0", 7, "a", dogwoodford.StateReady), member("n1", 1, "b", dogwoodford.StateReady), member("n2", 1, "b", dogwoodford.StateReady)}
	older := owned(2, "n1", 1)
	for _, tt := range []struct {
		name   string
		known  Value
		object []byte
		want   int64 // Epoch of the write; 0 for none.
	}{
		{"owner repairs an older epoch", owned(4, "n0", 7), older.Bytes(), 5},
		{"owner repairs malformed content", owned(4, "n0", 7), []byte("{"), 5},
		{"owner repairs another owner of its epoch", owned(4, "n0", 7), owned(4, "n1", 1).Bytes(), 5},
		{"others leave an older epoch", owned(4, "n1", 1), older.Bytes(), 0},
		{"others leave malformed content", owned(4, "n1", 1), []byte(`{"epoch":-1}`), 0},
		{"owner gives in to a higher epoch", owned(4, "n0", 7), owned(6, "n1", 1).Bytes(), 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, others...)
			f.learn(9, tt.known)
			f.rs.ranges[0].stale = true // As it is after a conflict.
			w, v := f.nextWrite(3, tt.object)
			if v.Epoch != tt.want {
				t.Fatalf("write of epoch %d, want %d", v.Epoch, tt.want)
			}
			if got := f.rs.Table().Row("s", 0).Epoch; got < 4 {
				t.Errorf("epoch went down to %d", got)
			}
			if tt.want != 0 && (w.Expected != 3 || v.Start < tt.known.End) {
				t.Errorf("write expects version %d and starts at %d, want 3 and at least %d", w.Expected, v.Start, tt.known.End)
			}
		})
	}
}

// TestPromiseOfReplacedWitness guards against an owner that relies on a promise of
// a witness that has been replaced. That happens when the clock of the owner steps
// back between the request for the promise and the write that replaces the
// witness.
func TestPromiseOfReplacedWitness(t *testing.T) {
	for _, broken := range []bool{false, true} {
		f := newFixture(t, member("n0", 7, "a", dogwoodford.StateReady), member("n1", 1, "b", dogwoodford.StateReady), member("n2", 1, "b", dogwoodford.StateReady))
		f.rs.broken.lateWitnessAnswer = broken
		ask, ok := first[AskPromise](f.learn(9, owned(4, "n0", 7)))
		if !ok {
			t.Fatal("no promise asked although the window is short")
		}
		f.now -= 5000
		f.rs.ranges[0].renewAt = 0
		w, ok := first[WriteObject](f.send(0, Members{Members: []Member{
			member("n0", 7, "a", dogwoodford.StateReady), member("n1", 1, "b", dogwoodford.StateReady), member("n2", 1, "b", dogwoodford.StateFailed),
		}}))
		if !ok {
			t.Fatal("no renewal")
		}
		v, _ := ParseValue(w.Value)
		if v.Witness != "n1" {
			t.Fatalf("witness %q, want n1", v.Witness)
		}
		f.send(1, ObjectWritten{Op: w.Op, Version: 10})
		f.send(1, PromiseAnswered{Op: ask.Op, Granted: true})
		end := f.rs.current(f.rs.ranges[0]).end
		if beyond := end > v.End; beyond != broken {
			t.Errorf("rule broken: %v, window ends %d ms beyond what the new witness knows", broken, end-v.End)
		}
	}
}

// TestTable guards against wrong answers of the published table.
func TestTable(t *testing.T) {
	f := newFixture(t, member("n0", 7, "a", dogwoodford.StateReady), member("n1", 1, "b", dogwoodford.StateReady))
	v := owned(4, "n0", 7)
	v.PreviousOwner, v.PreviousStart = "n1", t0-90_000
	f.learn(9, v)
	f.send(0, OwnershipUpdate{Service: "other", Number: 0, Value: owned(2, "n9", 3)})
	tab := f.rs.Table()
	key := func(at int64) dogwoodford.Key {
		for i := uint64(0); ; i++ {
			if k := dogwoodford.MakeKey(time.UnixMilli(at), 0, i); k.Range() == 0 {
				return k
			}
		}
	}
	var got []string
	for _, at := range []int64{-60_000, -5000, 2999, 3000, 7000} {
		k := key(t0 + at)
		h, reason := tab.Lookup("s", k, nil)
		again, _ := tab.Lookup("s", k, []string{"n1"})
		g := tab.MayRun(time.UnixMilli(t0+1500), k)
		got = append(got, fmt.Sprintf("%d: %s%s then %s; %q first %v, again %v", at, h.Node, reason, again.Node, g.Reason, g.Outcome(true), g.Outcome(false)))
	}
	want := []string{
		`-60000: n1 then n0; "key-age" first unknown, again unknown`,
		`-5000: n0 then n0; "" first not-run, again unknown`,
		`2999: n0 then n0; "" first not-run, again unknown`,
		`3000: n0 then n0; "range" first not-run, again unknown`,
		`7000: n0 then n0; "key-age" first not-run, again unknown`,
	}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("answers (-want +got):\n%s", d)
	}
	if h, _ := tab.Lookup("other", key(t0), nil); h.Node != "n9" {
		t.Errorf("owner in another service is %q, want n9", h.Node)
	}
	if _, reason := tab.Lookup("none", key(t0), nil); reason != dogwoodford.ReasonRange {
		t.Errorf("unknown service: reason %q", reason)
	}
	f.send(0, RecordsReceived{Number: 0, Epoch: 3, Start: t0 - 90_000, End: t0 - 5000, Incarnation: 7})
	if g := f.rs.Table().MayRun(time.UnixMilli(t0), key(t0-60_000)); !g.OK() || g.Epoch != 4 {
		t.Errorf("key of the window whose records came: %+v", g)
	}
}

// TestHandover guards against a range that stays with a node that is no longer
// preferred or is draining, and against a range that no node can claim.
func TestHandover(t *testing.T) {
	self := member("n0", 7, "a", dogwoodford.StateReady)
	preferred := ""
	for i := 1; preferred == ""; i++ {
		if n := fmt.Sprint("n", i); score("s", 0, n) > score("s", 0, "n0") {
			preferred = n
		}
	}
	for _, tt := range []struct {
		name    string
		members []Member
		event   Event
		owner   string
	}{
		{"rebalance to a node that joined", []Member{self, member(preferred, 1, "b", dogwoodford.StateReady)}, Tick{}, preferred},
		{"drain", []Member{self, member("n1", 1, "b", dogwoodford.StateReady)}, Drain{}, "n1"},
		{"drain without a successor", []Member{self}, Drain{}, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			testHandover(newFixture(t, tt.members...), tt.event, tt.owner)
		})
	}
}

// TestNoHandoverBack guards against two nodes that drain at once and pass a range
// back and forth, with a write each time, until each learns of the other's drain.
func TestNoHandoverBack(t *testing.T) {
	f := newFixture(t, member("n0", 7, "a", dogwoodford.StateReady), member("n1", 1, "b", dogwoodford.StateReady))
	f.send(0, Drain{})
	v := owned(5, "n0", 7)
	v.Start, v.End, v.PreviousOwner = f.now+400, f.now+60_000, "n1"
	f.learn(9, v)
	f.rs.lastAnswerAt = f.now + 60_000
	capped, ok := first[CapWindow](f.send(500, Tick{}))
	if !ok {
		capped = until[CapWindow](f)
	}
	w, ok := first[WriteObject](f.send(1, WindowCapped{Number: 0, Epoch: 5, End: capped.At}))
	if !ok {
		t.Fatal("no write after the cap")
	}
	if next, err := ParseValue(w.Value); err != nil || next.Owner != "" {
		t.Errorf("range went to %+v, %v; want it free", next, err)
	}
}

func testHandover(f *fixture, ev Event, owner string) {
	t := f.t
	v := owned(4, "n0", 7)
	v.End += 60_000 // No promise is needed meanwhile.
	f.learn(9, v)
	f.rs.lastAnswerAt = f.now + 60_000
	f.rs.ranges[0].renewAt = maxKeyMs
	capped, ok := first[CapWindow](f.send(0, ev))
	if !ok {
		capped = until[CapWindow](f)
	}
	w, ok := first[WriteObject](f.send(1, WindowCapped{Number: 0, Epoch: 4, End: capped.At}))
	if !ok {
		t.Fatal("no write after the cap")
	}
	next, err := ParseValue(w.Value)
	if err != nil || next.Epoch != 5 || next.Owner != owner || next.Start != capped.At {
		t.Errorf("handover to %+v, %v; cap at %d", next, err, capped.At)
	}
	f.send(1, ObjectWritten{Op: w.Op, Version: 10})
	if owner != "" {
		if f.rs.HandoversDone() {
			t.Error("done before the records were sent")
		}
		f.send(1, RecordsSent{Op: until[SendRecords](f).Op, OK: true})
	}
	if !f.rs.HandoversDone() {
		t.Error("not done after the handover")
	}
}

// TestNoHandoverInOutage guards against a range that is capped for a handover
// while the platform is down. Its window cannot be extended then, so its keys would
// be refused until the platform is back.
func TestNoHandoverInOutage(t *testing.T) {
	f := newFixture(t, member("n0", 7, "a", dogwoodford.StateReady), member("n1", 1, "b", dogwoodford.StateReady), member("n2", 1, "b", dogwoodford.StateReady))
	v := owned(4, "n0", 7)
	v.End += 60_000 // No promise is needed meanwhile.
	f.learn(9, v)
	f.rs.lastAnswerAt, f.rs.ranges[0].renewAt = f.now+60_000, maxKeyMs
	// A call for another range finds the platform down.
	other := f.rs.ranges[1]
	other.due, other.stale = 0, true
	read := until[ReadObject](f)
	acts := f.send(1, ObjectRead{Op: read.Op, Err: dogwoodford.ErrUnavailable})
	other.due = maxKeyMs
	acts = append(acts, f.send(1, Drain{})...)
	for range 20 {
		acts = append(acts, f.send(100, Tick{})...)
	}
	if c, ok := first[CapWindow](acts); ok {
		t.Errorf("capped %+v during an outage", c)
	}
	other.due = 0
	read = until[ReadObject](f)
	if _, ok := first[CapWindow](f.send(1, ObjectRead{Op: read.Op, Err: dogwoodford.ErrNotFound})); !ok {
		t.Error("not capped after the outage")
	}
}

// TestValues guards against content that would make a node run keys that it must
// not run, and against a release that frees issue times that were already granted.
func TestValues(t *testing.T) {
	ok := owned(4, "n0", 7)
	for name, edit := range map[string]func(*Value){
		"epoch":   func(v *Value) { v.Epoch = 0 },
		"order":   func(v *Value) { v.End = v.Start - 1 },
		"far end": func(v *Value) { v.End = maxKeyMs },
		"ownerless window": func(v *Value) {
			v.Owner = ""
		},
		"witness is owner": func(v *Value) { v.Witness = "n0" },
	} {
		v := ok
		edit(&v)
		if _, err := ParseValue(v.Bytes()); !errors.Is(err, ErrValue) {
			t.Errorf("%s: error %v", name, err)
		}
	}
	if v, err := ParseValue(ok.Bytes()); err != nil || v != ok {
		t.Errorf("round trip gives %+v, %v", v, err)
	}
	far := ok
	far.End = t0 + 60_000
	for _, old := range [][]byte{far.Bytes(), []byte("junk"), nil} {
		r := Release(time.UnixMilli(t0), old)
		if _, err := ParseValue(r.Bytes()); err != nil || r.Epoch <= 4 || r.Start < t0+6000 || string(old) == string(far.Bytes()) && r.Start != far.End {
			t.Errorf("release of %q gives %+v, %v", old, r, err)
		}
	}
	for _, name := range []string{"range/s/8", "range/s/-1", "range/s/01", "range//1", "range/s", "other/s/1"} {
		if _, _, ok := ParseObjectName(name); ok {
			t.Errorf("%q is taken for a range", name)
		}
	}
}
