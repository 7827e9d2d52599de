package dogsidecar

import (
	"time"

	"dogwoodford"
)

// storeView follows the configuration in the store, and vouches for its version with each
// answer. It is used by the goroutine of the watch.
//
// A configuration that is not valid leaves the one before in force. If it is found in a
// list, valid ones that removed keys may have come before it, so that the list vouches for
// nothing unless the object is the one that was last read.
type storeView struct {
	configs  *configs
	moment   time.Duration             // Moment before the last question.
	revision dogwoodford.Revision      // Of the object that was last read, zero if there was none.
	changes  []dogwoodford.StoreObject // Changes of the answer, oldest first.
	version  int64                     // Version that is in force by it, 0 if that is not known.
}

// ask notes the moment before a question.
func (v *storeView) ask() { v.moment = v.configs.keys.moment() }

// answered takes the changes of an answer, and records what the answer proves.
func (v *storeView) answered() {
	v.takeNewest()
	if v.version > 0 {
		v.configs.keys.observe(v.version, v.moment)
	}
}

// takeNewest takes the last valid one of the changes. Those before it had been replaced,
// perhaps long before the question, so that nothing is known of the moments at which they
// were the newest.
func (v *storeView) takeNewest() {
	changes := v.changes
	v.changes = nil
	for len(changes) > 0 && !v.take(changes[len(changes)-1]) {
		changes = changes[:len(changes)-1]
	}
}

// vouches reports whether the store holds a configuration that its answers can renew.
// Asking it more often is of no use otherwise.
func (v *storeView) vouches() bool { return v.version > 0 }

// listed takes all objects of a list.
func (v *storeView) listed(objects []dogwoodford.StoreObject) {
	_, name := v.configs.dialect.ConfigObject()
	found := false
	for _, o := range objects {
		if o.Name != name {
			continue
		}
		found = true
		if o.Revision != v.revision {
			v.version = 0
		}
		v.revision = o.Revision
		v.take(o)
	}
	if !found {
		v.revision, v.version = dogwoodford.Revision{}, 0
	}
}

// changed notes a change until answered is called, or takes it at once at a node that trusts
// keys without a bound. The configuration stays in force if its object is deleted.
func (v *storeView) changed(c dogwoodford.Change) {
	if _, name := v.configs.dialect.ConfigObject(); c.Object.Name != name || c.Deleted {
		return
	}
	if v.configs.keys == nil {
		v.take(c.Object)
		return
	}
	v.revision = c.Object.Revision
	v.changes = append(v.changes, c.Object)
}

// take puts an object in force if it is valid and newer, and reports whether it is valid.
func (v *storeView) take(o dogwoodford.StoreObject) bool {
	t, spec, ok := v.configs.parse(o.Value, "store")
	if !ok {
		return false
	}
	v.version = t.Version()
	v.configs.keys.observe(v.version, v.moment) // For the moment at which it comes into force.
	v.configs.enforce(t, spec, o.Value, "store")
	return true
}
