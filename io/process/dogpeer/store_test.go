package dogpeer_test

import (
	"slices"
	"strings"
	"time"

	"dogwoodford"
	"dogwoodford/core/version/dogconfig"
)

// store is the platform's object service in virtual time. It answers after
// 5 ms; while it is down, calls fail after 2 s.
type store struct {
	f        *fleet
	objects  map[string]dogwoodford.Object
	revision map[string]int64
	last     int64
	down     bool
	calls    []time.Time
	waiting  []*node
}

// call counts a call and runs do when the answer arrives.
func (s *store) call(n *node, do func(err error)) {
	s.calls = append(s.calls, s.f.now)
	d, err := s.f.jitter(5*time.Millisecond), error(nil)
	if s.down {
		d, err = 2*time.Second, dogwoodford.ErrUnavailable
	}
	m := n.m
	s.f.after(d, func() {
		if n.up && n.m == m {
			do(err)
		}
	})
}

func (s *store) under(prefix string, after int64) []dogwoodford.Object {
	var out []dogwoodford.Object
	for name, o := range s.objects {
		if strings.HasPrefix(name, prefix) && s.revision[name] > after {
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b dogwoodford.Object) int { return strings.Compare(a.Name, b.Name) })
	return out
}

func (s *store) list(n *node, prefix string, done func([]dogwoodford.Object, error)) {
	s.call(n, func(err error) {
		if err != nil {
			done(nil, err)
			return
		}
		objs := s.under(prefix, 0)
		for _, o := range objs {
			n.bytes += int64(len(o.Value)*4/3 + overhead)
		}
		done(objs, nil)
	})
}

func (s *store) put(n *node, name string, expected int64, value []byte, done func(int64, error)) {
	s.call(n, func(err error) {
		n.bytes += int64(len(value)*4/3 + overhead)
		if err == nil && s.objects[name].Version != expected {
			err = dogwoodford.ErrConflict
		}
		if err != nil {
			done(0, err)
			return
		}
		s.set(name, value)
		done(expected+1, nil)
	})
}

// set writes an object and answers the watches.
func (s *store) set(name string, value []byte) {
	s.last++
	s.objects[name] = dogwoodford.Object{Name: name, Version: s.objects[name].Version + 1, Value: value}
	s.revision[name] = s.last
	if !strings.HasPrefix(name, "contract/") {
		return
	}
	waiting := s.waiting
	s.waiting = nil
	for _, n := range waiting {
		s.f.after(s.f.jitter(5*time.Millisecond), func() { s.tell(n) })
	}
}

// wait begins a watch of a node; it ends with a change or after 30 s.
func (s *store) wait(n *node) {
	if !n.watch || !n.up {
		return
	}
	m := n.m
	s.call(n, func(err error) {
		switch {
		case err != nil:
			s.f.after(s.f.jitter(5*time.Second), func() {
				if n.m == m {
					s.wait(n)
				}
			})
		case len(s.under("contract/", n.watched)) > 0:
			s.tell(n)
		default:
			s.waiting = append(s.waiting, n)
			s.f.after(30*time.Second, func() {
				if i := slices.Index(s.waiting, n); i >= 0 && n.m == m {
					s.waiting = slices.Delete(s.waiting, i, i+1)
					s.wait(n)
				}
			})
		}
	})
}

func (s *store) tell(n *node) {
	if !n.up || !n.watch {
		return
	}
	objs := s.under("contract/", n.watched)
	n.watched = s.last
	for _, o := range objs {
		n.bytes += int64(len(o.Value)*4/3 + overhead)
		n.config(dogconfig.ObjectSeen{Object: o})
	}
	s.wait(n)
}

// setDown begins or ends an outage; watches that wait break off.
func (s *store) setDown(down bool) {
	s.down = down
	if down {
		waiting := s.waiting
		s.waiting = nil
		for _, n := range waiting {
			s.f.after(s.f.jitter(5*time.Second), func() { s.wait(n) })
		}
	}
}
