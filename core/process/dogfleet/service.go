package dogfleet

import (
	"slices"
	"strings"
	"time"

	"dogwoodford"
)

// ServiceTarget is what is known of one target of a service.
type ServiceTarget struct {
	Target    dogwoodford.Target
	Reachable bool // Whether its node can be reached.
	Routable  bool // Whether Fleet.Targets has it.
}

// ServiceTargets returns all known targets of a service, in the order of their nodes. It
// changes nothing.
func (f *Fleet) ServiceTargets(now time.Time, service string) []ServiceTarget {
	routable := make(map[string]bool)
	targets, _ := f.computeTargets(now)
	for _, t := range targets {
		routable[t.Node] = true
	}
	var out []ServiceTarget
	for name, m := range f.members {
		if m.entry.Service != service {
			continue
		}
		out = append(out, ServiceTarget{
			Target: dogwoodford.Target{
				Node: name, Service: service, DataCentre: m.entry.DataCentre, Peer: m.entry.Peer, State: m.entry.State,
				Slots: m.entry.Slots, ReadySince: m.readySince, LastSeen: m.readySince,
			},
			Reachable: m.down.IsZero(), Routable: routable[name],
		})
	}
	slices.SortFunc(out, func(a, b ServiceTarget) int { return strings.Compare(a.Target.Node, b.Target.Node) })
	return out
}
