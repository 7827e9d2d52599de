package dogmember_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"dogwoodford"
	"dogwoodford/core/process/dogmember"
	"dogwoodford/internal/dogscript"
)

// TestScripts runs the scripts in testdata against the membership of node "n1".
func TestScripts(t *testing.T) {
	dogscript.Run(t, func(out *strings.Builder) func(t *testing.T, words []string) {
		s := &script{now: time.UnixMilli(1_000_000), out: out}
		return s.run
	})
}

type script struct {
	now  time.Time
	m    *dogmember.Membership
	last uint64   // ID of the last Probe action.
	acks []string // Peers whose probes are answered at once.
	out  *strings.Builder
}

func record(name string, incarnation uint64, state dogwoodford.State) dogmember.Member {
	return dogmember.Member{
		Node: name, Incarnation: incarnation, Service: "rounds", DataCentre: "midrand", Peer: name + ":1", State: state,
	}
}

func show(m dogmember.Member) string {
	s := fmt.Sprintf("%s/%d:%v", m.Node, m.Incarnation, m.State)
	if m.Suspected {
		s += "?"
	}
	return s
}

func showUpdates(us []dogmember.Update) string {
	var out []string
	for _, u := range us {
		if m, ok := u.Value.(dogmember.Member); ok {
			out = append(out, show(m))
		} else {
			out = append(out, u.Key)
		}
	}
	return strings.Join(out, " ")
}

func (s *script) event(ev dogmember.Event) {
	for _, a := range s.m.OnEvent(s.now, ev) {
		at := s.now.Sub(time.UnixMilli(1_000_000))
		switch a := a.(type) {
		case dogmember.Probe:
			s.last = a.ID
			if slices.Contains(s.acks, a.Peer) {
				s.event(dogmember.ProbeAnswered{ID: a.ID})
				continue
			}
			fmt.Fprintf(s.out, "  %v probe %s: %s\n", at, a.Peer, showUpdates(a.Message.Updates))
		case dogmember.ProbeVia:
			fmt.Fprintf(s.out, "  %v probe %s via %s\n", at, a.Peer, a.Via)
		case dogmember.Notify:
			fmt.Fprintf(s.out, "  %v notify %s: %s\n", at, a.Peer, showUpdates(a.Message.Updates))
		case dogmember.Reply:
			fmt.Fprintf(s.out, "  reply %s\n", showUpdates(a.Message.Updates))
		case dogmember.PullReply:
			fmt.Fprintf(s.out, "  pull reply all=%v %s\n", a.All, showUpdates(a.Updates))
		case dogmember.Pull:
			fmt.Fprintf(s.out, "  %v pull %s, %d parts\n", at, a.Peer, len(a.Parts))
		case dogmember.MemberFailed:
			fmt.Fprintf(s.out, "  %v failed %s\n", at, a.Member.Node)
		case dogmember.WriteSeeds:
			fmt.Fprintf(s.out, "  %v write %s expecting %d: %s\n", at, a.Name, a.Expected, a.Value)
		case dogmember.Changed:
		default:
			fmt.Fprintf(s.out, "  %v %T %v\n", at, a, a)
		}
	}
}

var states = map[string]dogwoodford.State{
	"starting": dogwoodford.StateStarting, "ready": dogwoodford.StateReady, "draining": dogwoodford.StateDraining,
	"left": dogwoodford.StateLeft, "failed": dogwoodford.StateFailed, "suspected": dogwoodford.StateReady,
}

// members parses words of the form node/incarnation:state.
func members(words []string) []dogmember.Update {
	var out []dogmember.Update
	for _, w := range words {
		name, rest, _ := strings.Cut(w, "/")
		inc, state, _ := strings.Cut(rest, ":")
		n, err := strconv.ParseUint(inc, 10, 64)
		if err != nil {
			panic(err)
		}
		m := record(name, n, states[state])
		m.Suspected = state == "suspected"
		out = append(out, dogmember.MemberUpdate(m))
	}
	return out
}

// run executes one command: new [platform] [SEED...]; acks PEER...; wait D; heard
// MEMBER...; probed FROM MEMBER...; answer MEMBER... (to the last probe); miss; via
// true|false; pulled PEER MEMBER...; pull FROM MEMBER; nopull PEER; self STATE; mark
// NODE MILLIS; seeds PREFIX VERSION NODE...; seeds PREFIX error; wrote ok|conflict;
// members; targets.
func (s *script) run(t *testing.T, w []string) {
	t.Helper()
	switch w[0] {
	case "new":
		opt := dogmember.Options{
			Self: record("n1", 1_000_000, dogwoodford.StateStarting), Rand: rand.New(rand.NewPCG(1, 1)),
			Size: func(dogmember.Update) int { return 60 },
		}
		for _, x := range w[1:] {
			if x == "platform" {
				opt.Platform = true
				continue
			}
			opt.Seeds = append(opt.Seeds, x)
		}
		s.m = dogmember.New(s.now, opt)
	case "acks":
		s.acks = w[1:]
	case "wait":
		d, err := time.ParseDuration(w[1])
		if err != nil {
			t.Fatal(err)
		}
		for range d / (100 * time.Millisecond) {
			s.now = s.now.Add(100 * time.Millisecond)
			s.event(dogmember.Tick{})
		}
	case "heard":
		s.event(dogmember.NotifyArrived{From: "x", Message: dogmember.Message{Updates: members(w[1:])}})
	case "probed":
		s.event(dogmember.ProbeArrived{From: w[1], Message: dogmember.Message{Updates: members(w[2:])}})
	case "answer":
		s.event(dogmember.ProbeAnswered{ID: s.last, Message: dogmember.Message{Updates: members(w[1:]), Summary: 1}})
	case "miss":
		s.event(dogmember.ProbeFailed{ID: s.last})
	case "via":
		s.event(dogmember.ProbeViaAnswered{ID: s.last, Alive: w[1] == "true"})
	case "pulled":
		s.event(dogmember.PullAnswered{Peer: w[1], Updates: members(w[2:])})
	case "pull":
		self := members(w[2:])[0].Value.(dogmember.Member)
		s.event(dogmember.PullArrived{From: w[1], Self: &self})
	case "nopull":
		s.event(dogmember.PullFailed{Peer: w[1]})
	case "self":
		s.event(dogmember.SelfChanged{State: states[w[1]], Slots: 45})
	case "mark":
		n, _ := strconv.ParseInt(w[2], 10, 64)
		s.event(dogmember.DrainMarkRead{Node: w[1], Mark: dogmember.DrainMark{AtMillis: n}})
	case "seeds":
		s.event(seedsRead(w[1:]))
	case "wrote":
		ev := dogmember.SeedsWritten{}
		if w[1] != "ok" {
			ev.Err = dogwoodford.ErrConflict
		}
		s.event(ev)
	case "members":
		for _, m := range s.m.Members() {
			s.out.WriteString("  " + show(m) + "\n")
		}
	case "targets":
		for _, x := range s.m.Targets(s.now)["rounds"] {
			fmt.Fprintf(s.out, "  %s %v seen %v ago\n", x.Node, x.State, s.now.Sub(x.LastSeen))
		}
	default:
		t.Fatalf("unknown command %q", w[0])
	}
}

func seedsRead(w []string) dogmember.SeedsRead {
	ev := dogmember.SeedsRead{Prefix: w[0]}
	if len(w) > 1 && w[1] == "error" {
		ev.Err = dogwoodford.ErrUnavailable
		return ev
	}
	if len(w) > 1 {
		v, _ := strconv.ParseInt(w[1], 10, 64)
		var seeds []string
		for _, name := range w[2:] {
			seeds = append(seeds, fmt.Sprintf(`{"node":%q,"peer":"%s:1"}`, name, name))
		}
		ev.Objects = []dogwoodford.Object{{
			Name: "members/midrand", Version: v, Value: []byte("[" + strings.Join(seeds, ",") + "]"),
		}}
	}
	return ev
}
