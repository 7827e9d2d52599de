package dogsidecar

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"dogwoodford"
	"dogwoodford/core/process/dogadmit"
	"dogwoodford/core/process/dogfleet"
	"dogwoodford/core/process/dogtarget"
	"dogwoodford/io/process/dogmetric"
	"dogwoodford/io/request/doggate"
)

// rampGate records the starts that a heartbeat shows.
type rampGate struct {
	dogwoodford.Admission
	starts []dogwoodford.Start
}

// beat is a heartbeat of a target.
type beat struct {
	id   string
	age  time.Duration // Since the start of the target; an hour or more: since before the first heartbeat.
	cold time.Duration
	lost bool // The target is marked as failed before.
}

func (g *rampGate) Restart(now time.Time, s dogwoodford.Start) {
	g.starts = append(g.starts, s)
	g.Admission.Restart(now, s)
}

// TestRampStarts guards against a target that is sent its full share at once after a
// start or a recovery, and against a ramp of one that runs steadily beside a node that
// was restarted. Each case is a fleet and heartbeats a second apart.
func TestRampStarts(t *testing.T) {
	for _, tc := range []struct {
		name  string
		other bool // Another target of the service has been ready.
		beats []beat
		want  []dogwoodford.Start
	}{
		{"a steady target beside a restarted node", true, []beat{{"a", time.Hour, 0, false}, {"a", time.Hour, 0, false}}, nil},
		{"a start", true, []beat{{"a", time.Second, 2 * time.Second, false}}, []dogwoodford.Start{{Fresh: true, Cold: true}}},
		{"a start without a hint, of the only target", false, []beat{{"a", time.Second, 0, false}},
			[]dogwoodford.Start{{Fresh: true, Alone: true}}},
		{"another target at the address", true, []beat{{"a", time.Hour, 0, false}, {"b", time.Second, 0, false}},
			[]dogwoodford.Start{{Fresh: true}}},
		{"a recovery", true, []beat{{"a", time.Hour, 0, false}, {"a", time.Hour, 0, true}}, []dogwoodford.Start{{}}},
		{"flapping", true, []beat{{"a", time.Hour, 0, false}, {"a", time.Hour, 0, true}, {"a", time.Second, 0, true}},
			[]dogwoodford.Start{{}, {Fresh: true}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				starts, ramping := startsAfter(t, tc.other, tc.beats)
				if diff := cmp.Diff(tc.want, starts); diff != "" {
					t.Errorf("starts (-want +got):\n%s", diff)
				}
				if ramping != (len(tc.want) > 0) {
					t.Errorf("ramp is active: %t, want %t", ramping, len(tc.want) > 0)
				}
			})
		})
	}
}

// rampState returns the state of a node whose ramps start at a recording gate.
func rampState(t *testing.T) (*state, *rampGate, *doggate.Gate) {
	t.Helper()
	s := testState(t, func() int64 { return 0 })
	gate := &rampGate{Admission: dogadmit.New(dogadmit.Options{Slots: 40, Rand: newRand(), Ramp: true})}
	g := doggate.NewGate(gate)
	s.setSlots = g.SetSlots
	s.ramps = &rampMonitor{gate: g, log: s.log, metrics: dogmetric.NewSet()}
	return s, gate, g
}

// putOther puts another target of the service into the view, which has been ready.
func putOther(s *state) {
	s.put(dogfleet.Entry{
		Node: "rounds-2", Service: "rounds", Peer: "10.0.0.2:81", State: dogwoodford.StateReady, Slots: 40,
	}, rev(1))
}

// TestRampOfWaitingTarget guards against a service that starts far too slowly after a loss of
// power of all machines: each node takes the entries from before it, which it lists behind the
// first heartbeat of its target, for others that have been ready, and holds its target down.
func TestRampOfWaitingTarget(t *testing.T) {
	s, gate, _ := rampState(t)
	s.entriesAsked()
	receiveHeartbeat(s, dogtarget.Heartbeat{
		ID: "a", Service: "rounds", Address: "10.0.0.1:80", Born: time.Now().UnixMilli(), Sequence: 1, Slots: 40,
	})
	putOther(s)
	s.setListed()
	s.endDoubt()
	if diff := cmp.Diff([]dogwoodford.Start{{Fresh: true, Alone: true}}, gate.starts); diff != "" {
		t.Errorf("starts (-want +got):\n%s", diff)
	}
}

// startsAfter returns the starts that a node sees in heartbeats, and whether the limit is
// held down after the last one. other tells whether another target of the service has
// been ready.
func startsAfter(t *testing.T, other bool, beats []beat) ([]dogwoodford.Start, bool) {
	t.Helper()
	s, gate, g := rampState(t)
	if other {
		putOther(s)
	}
	begin := time.Now()
	for i, b := range beats {
		time.Sleep(time.Second)
		if b.lost {
			s.MarkFailed(b.id)
		}
		born := time.Now().Add(-b.age)
		if b.age >= time.Hour {
			born = begin.Add(-b.age)
		}
		h := dogtarget.Heartbeat{
			ID: b.id, Service: "rounds", Address: "10.0.0.1:80", Born: born.UnixMilli(), Sequence: int64(i + 1),
			Slots: 40, Cold: b.cold,
		}
		if e := receiveHeartbeat(s, h); e != dogtarget.Accepted {
			t.Fatalf("heartbeat %d: %v, want accepted", i, e)
		}
	}
	return gate.starts, g.Ramping()
}

// TestRampIsLogged guards against ramps of which nobody learns, and against a line for
// each check.
func TestRampIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		log := newLogger(&out, "rounds-1")
		g := doggate.NewGate(dogadmit.New(dogadmit.Options{Slots: 40, Rand: newRand(), Ramp: true}))
		m := &rampMonitor{gate: g, log: log, metrics: dogmetric.NewSet()}
		m.start("a", dogwoodford.Start{Fresh: true})
		m.check()
		for i := range 100 {
			r := dogwoodford.NewRequest(dogwoodford.RequestSpec{ID: fmt.Sprint(i), Deadline: time.Now().Add(time.Second)})
			if v := g.Enter(t.Context(), r); v.Action() != dogwoodford.Run {
				t.Fatalf("request %d: %v, want run", i, v.Reason())
			}
			time.Sleep(10 * time.Millisecond)
			g.Leave(r.ID(), dogwoodford.Sample{Latency: 10 * time.Millisecond})
		}
		m.check()
		m.check()
		log.close()
		var got []string
		for line := range strings.Lines(out.String()) {
			var fields struct {
				Message string `json:"msg"`
				Limit   int    `json:"limit"`
			}
			if err := json.Unmarshal([]byte(line), &fields); err != nil {
				t.Fatal(err)
			}
			got = append(got, fmt.Sprint(fields.Message, " ", fields.Limit))
		}
		if diff := cmp.Diff([]string{"ramp-started 10", "ramp-ended 40"}, got); diff != "" {
			t.Errorf("log lines (-want +got):\n%s", diff)
		}
	})
}
