package dogmember

import (
	"time"

	"dogwoodford"
)

// Membership is the membership as one node knows it. It is not safe for
// concurrent use.
type Membership struct{ opt Options }

// New returns a membership that knows only the node itself, in state Starting.
// It panics if Rand or Size is nil or Self has no name.
func New(now time.Time, opt Options) *Membership { return &Membership{opt: opt.withDefaults()} }

// OnEvent applies an event and returns what to do.
func (m *Membership) OnEvent(now time.Time, ev Event) []Action { return nil }

// Self returns the record of this node.
func (m *Membership) Self() Member { return Member{} }

// Members returns the records of all known nodes by name, ended ones included,
// with the state as this node acts on it.
func (m *Membership) Members() []Member { return nil }

// Member returns the record of a node.
func (m *Membership) Member(node string) (Member, bool) { return Member{}, false }

// Targets returns the targets by service, by node name. A target that ended
// stays for 30 s, with Seen at its end. For present ones Seen is now.
func (m *Membership) Targets(now time.Time) map[string][]dogwoodford.Target { return nil }

// Status returns a description for operators.
func (m *Membership) Status() Status { return Status{} }

// Keepers returns the names of the two keepers and watchers of a data centre:
// the lowest names, in byte order, of its ready members.
func Keepers(members []Member, dataCentre string) []string { return nil }
