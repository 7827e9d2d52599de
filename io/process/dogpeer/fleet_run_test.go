package dogpeer_test

import (
	"testing"
	"time"

	"dogwoodford"
	"dogwoodford/core/process/dogmember"
	"dogwoodford/core/version/dogconfig"
)

// startFleet starts a fleet and runs it for 90 s, until all nodes know each other.
func startFleet(t *testing.T, n int, seed uint64) *fleet {
	t.Helper()
	f := newFleet(n, seed)
	f.store.set("contract/firm-1", contractText("firm-1", 1))
	for _, x := range f.nodes {
		x.start()
	}
	f.run(90 * time.Second)
	f.wantAlive(t, n)
	return f
}

func (f *fleet) wantAlive(t *testing.T, want int) {
	t.Helper()
	for _, x := range f.nodes {
		if got := x.membership.Status().Alive; x.up && got != want {
			t.Errorf("%s sees %d members alive, want %d", x.name, got, want)
		}
	}
}

// TestPartitionHeals guards against the halves of a network partition that do not
// find each other again without the platform, and against claims of one half
// because of which live members of the other remain declared failed.
func TestPartitionHeals(t *testing.T) {
	for seed := range uint64(3) {
		f := startFleet(t, 24, seed)
		f.store.setDown(true)
		f.partitioned = func(a, b *node) bool { return a.dc < 3 != (b.dc < 3) }
		f.run(10 * time.Minute)
		f.wantAlive(t, 12)
		f.partitioned = nil
		falseFailures := 0
		f.onFailed = func(*node, dogmember.Member) { falseFailures++ }
		f.run(90 * time.Second)
		f.wantAlive(t, 24)
		if falseFailures > 0 {
			t.Logf("seed %d: %d live members were declared failed temporarily", seed, falseFailures)
		}
	}
}

// TestRestoredPlatform guards against a platform restored from a backup that
// reverts a contract at the nodes, or to which the newer generation is not written
// back.
func TestRestoredPlatform(t *testing.T) {
	f := startFleet(t, 24, 1)
	old := f.store.objects["contract/firm-1"]
	f.store.set("contract/firm-1", contractText("firm-1", 2))
	f.run(30 * time.Second)
	f.store.set("contract/firm-1", old.Value)
	calls := len(f.store.calls)
	f.run(30 * time.Second)
	for _, x := range f.nodes {
		if g := x.contracts.Snapshot()["firm-1"].Number; g != 2 {
			t.Errorf("%s has generation %d in force, want 2", x.name, g)
		}
	}
	parsed, err := parseText(f.store.objects["contract/firm-1"].Value)
	if err != nil || parsed.Generation != 2 {
		t.Errorf("the platform holds generation %d, error %v, want 2", parsed.Generation, err)
	}
	t.Logf("%d platform calls in the 30 s after the restore", len(f.store.calls)-calls)
}

// TestReplacedNodes guards against a start of the whole fleet that fails because
// the members objects name only processes that no longer run, half of them at
// addresses that are no longer in use, and against a restarted node that is
// mistaken for its previous process.
func TestReplacedNodes(t *testing.T) {
	f := startFleet(t, 24, 2)
	for _, x := range f.nodes {
		x.up = false
	}
	f.run(time.Minute)
	for i, x := range f.nodes {
		delete(f.nodesByPeer, x.peer)
		if i%2 == 0 {
			x.peer = "10.1" + x.peer[len("10.0"):]
		}
		f.nodesByPeer[x.peer] = x
		x.start()
	}
	f.run(90 * time.Second)
	f.wantAlive(t, 24)
	for _, x := range f.nodes {
		if x.contracts.Snapshot()["firm-1"].Number != 1 {
			t.Errorf("%s has no contract in force", x.name)
		}
	}
}

// TestDrain guards against a drain of which other nodes learn too late.
func TestDrain(t *testing.T) {
	f := startFleet(t, 24, 3)
	f.nodes[5].memberEvent(dogmember.SelfChanged{State: dogwoodford.StateDraining, Slots: 45})
	f.run(3 * time.Second)
	for _, x := range f.nodes {
		if m, _ := x.membership.Member(f.nodes[5].name); m.State != dogwoodford.StateDraining {
			t.Errorf("%s sees the node as %v 3 s after it began to drain", x.name, m.State)
		}
	}
	var inForce []dogconfig.Generation
	for _, x := range f.nodes {
		inForce = append(inForce, x.contracts.Generations()...)
	}
	if len(inForce) != 24 {
		t.Errorf("%d nodes have the contract in force, want 24", len(inForce))
	}
}
