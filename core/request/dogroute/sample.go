package dogroute

import (
	"dogwoodford"
)

// index holds the targets of one list by service and place. It serves as long
// as Pick is given the same list.
type index struct {
	first    *dogwoodford.Target // First element of the list, which names it.
	length   int
	services map[string]*group
}

// group is the targets of one service, as positions in the list.
type group struct {
	local  []int32
	remote []int32
}

func (x *index) names(targets []dogwoodford.Target) bool {
	return len(targets) > 0 && x.first == &targets[0] && x.length == len(targets)
}

func newIndex(targets []dogwoodford.Target, dataCentre string) *index {
	x := &index{length: len(targets), services: make(map[string]*group)}
	if len(targets) > 0 {
		x.first = &targets[0]
	}
	for i := range targets {
		t := &targets[i]
		if t.State != dogwoodford.Ready {
			continue
		}
		g := x.services[t.Service]
		if g == nil {
			g = &group{}
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

// sample returns the positions of some targets of a service: up to n of the own
// data centre and n of the others, drawn at random.
func (rt *Router) sample(service string, targets []dogwoodford.Target, n int) []int32 {
	if !rt.index.names(targets) {
		rt.index = newIndex(targets, rt.opts.DataCentre)
	}
	g := rt.index.services[service]
	if g == nil {
		return nil
	}
	rt.drawn = rt.draw(rt.drawn[:0], g.local, n)
	rt.drawn = rt.draw(rt.drawn, g.remote, n)
	return rt.drawn
}

// draw appends n of the positions, all if there are fewer. It moves those that
// it draws to the front.
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
