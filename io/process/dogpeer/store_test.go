package dogpeer_test

import (
	"slices"
	"strings"
	"time"

	"dogwoodford"
	"dogwoodford/core/version/dogconfig"
)

// platformStore simulates the platform's object service in virtual time. It
// answers after about 5 ms; while it is down, calls fail after 2 s.
type platformStore struct {
	f            *fleet
	objects      map[string]dogwoodford.Object
	revision     map[string]int64
	lastRevision int64
	down         bool
	calls        []time.Time
	watchers     []*node
}

// call records a call by n and runs do when the response arrives.
func (s *platformStore) call(n *node, do func(err error)) {
	s.calls = append(s.calls, s.f.now)
	d, err := s.f.jitter(5*time.Millisecond), error(nil)
	if s.down {
		d, err = 2*time.Second, dogwoodford.ErrUnavailable
	}
	m := n.membership
	s.f.after(d, func() {
		if n.up && n.membership == m {
			do(err)
		}
	})
}

func (s *platformStore) objectsAfter(prefix string, after int64) []dogwoodford.Object {
	var out []dogwoodford.Object
	for name, o := range s.objects {
		if strings.HasPrefix(name, prefix) && s.revision[name] > after {
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b dogwoodford.Object) int { return strings.Compare(a.Name, b.Name) })
	return out
}

func (s *platformStore) list(n *node, prefix string, done func([]dogwoodford.Object, error)) {
	s.call(n, func(err error) {
		if err != nil {
			done(nil, err)
			return
		}
		objs := s.objectsAfter(prefix, 0)
		for _, o := range objs {
			n.bytes += int64(len(o.Value)*4/3 + callOverheadBytes)
		}
		done(objs, nil)
	})
}

func (s *platformStore) put(n *node, name string, expected int64, value []byte, done func(int64, error)) {
	s.call(n, func(err error) {
		n.bytes += int64(len(value)*4/3 + callOverheadBytes)
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

// set writes an object. A write of a contract completes the pending watches.
func (s *platformStore) set(name string, value []byte) {
	s.lastRevision++
	s.objects[name] = dogwoodford.Object{Name: name, Version: s.objects[name].Version + 1, Value: value}
	s.revision[name] = s.lastRevision
	if !strings.HasPrefix(name, "contract/") {
		return
	}
	watchers := s.watchers
	s.watchers = nil
	for _, n := range watchers {
		s.f.after(s.f.jitter(5*time.Millisecond), func() { s.notify(n) })
	}
}

// startWatch starts a watch by n. A change completes it; after 30 s without one it
// is started anew.
func (s *platformStore) startWatch(n *node) {
	if !n.watching || !n.up {
		return
	}
	m := n.membership
	s.call(n, func(err error) {
		switch {
		case err != nil:
			s.f.after(s.f.jitter(5*time.Second), func() {
				if n.membership == m {
					s.startWatch(n)
				}
			})
		case len(s.objectsAfter("contract/", n.watchedRevision)) > 0:
			s.notify(n)
		default:
			s.watchers = append(s.watchers, n)
			s.f.after(30*time.Second, func() {
				if i := slices.Index(s.watchers, n); i >= 0 && n.membership == m {
					s.watchers = slices.Delete(s.watchers, i, i+1)
					s.startWatch(n)
				}
			})
		}
	})
}

func (s *platformStore) notify(n *node) {
	if !n.up || !n.watching {
		return
	}
	objs := s.objectsAfter("contract/", n.watchedRevision)
	n.watchedRevision = s.lastRevision
	for _, o := range objs {
		n.bytes += int64(len(o.Value)*4/3 + callOverheadBytes)
		n.configEvent(dogconfig.ObjectSeen{Object: o})
	}
	s.startWatch(n)
}

// setDown begins or ends an outage. Pending watches fail when it begins.
func (s *platformStore) setDown(down bool) {
	s.down = down
	if down {
		watchers := s.watchers
		s.watchers = nil
		for _, n := range watchers {
			s.f.after(s.f.jitter(5*time.Second), func() { s.startWatch(n) })
		}
	}
}
