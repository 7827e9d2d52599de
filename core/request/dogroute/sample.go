package dogroute

import (
	"dogwoodford"
)

// index holds the ready targets of one list by service and by local or other
// data centre. It is valid as long as Pick is given the same list.
type index struct {
	first    *dogwoodford.Target // First element of the list, which identifies it.
	length   int
	services map[string]*serviceTargets
}

// serviceTargets holds the targets of one service, as positions in the list.
type serviceTargets struct {
	local  []int32
	remote []int32
}

// matches reports whether x was built from targets.
func (x *index) matches(targets []dogwoodford.Target) bool {
	return len(targets) > 0 && x.first == &targets[0] && x.length == len(targets)
}

func newIndex(targets []dogwoodford.Target, dataCentre string) *index {
	x := &index{length: len(targets), services: make(map[string]*serviceTargets)}
	if len(targets) > 0 {
		x.first = &targets[0]
	}
	for i := range targets {
		t := &targets[i]
		if t.State != dogwoodford.StateReady {
			continue
		}
		g := x.services[t.Service]
		if g == nil {
			g = &serviceTargets{}
			x.services[t.Service] = g
		}
		if t.DataCentre == dataCentre {
			g.local = append(g.local, int32(i))
		} else {
			g.remote = append(g.remote, int32(i))
		}
	}
	return x
}

// sample returns the positions of random targets of a service: up to n in the
// local data centre and n in the others.
func (rt *Router) sample(service string, targets []dogwoodford.Target, n int) []int32 {
	if !rt.index.matches(targets) {
		rt.index = newIndex(targets, rt.opts.DataCentre)
	}
	g := rt.index.services[service]
	if g == nil {
		return nil
	}
	rt.sampled = rt.draw(rt.sampled[:0], g.local, n)
	rt.sampled = rt.draw(rt.sampled, g.remote, n)
	return rt.sampled
}

// draw appends n random positions from the slice from to out, all if there are
// fewer. It moves the drawn positions to the front of from.
func (rt *Router) draw(out, from []int32, n int) []int32 {
	if len(from) <= n {
		return append(out, from...)
	}
	for i := range n {
		j := i + rt.opts.Rand.IntN(len(from)-i)
		from[i], from[j] = from[j], from[i]
	}
	return append(out, from[:n]...)
}
