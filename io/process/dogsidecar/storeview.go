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
	moment   time.Duration // Moment before the last question.
	revision int64         // Revision of the object that was last read, 0 if there was none.
	version  int64         // Version that is in force by it, 0 if that is not known.
}

// ask notes the moment before a question.
func (v *storeView) ask() { v.moment = v.configs.keys.moment() }

// answered records what the answer, whose objects were taken, proves.
func (v *storeView) answered() {
	if v.version > 0 {
		v.configs.keys.observe(v.version, v.moment)
	}
}

// vouches reports whether the store holds a configuration that its answers can renew.
// Asking it more often is of no use otherwise.
func (v *storeView) vouches() bool { return v.version > 0 }

// listed takes all objects of a list.
func (v *storeView) listed(objects []dogwoodford.Object) {
	_, name := v.configs.dialect.ConfigObject()
	found := false
	for _, o := range objects {
		if o.Name != name {
			continue
		}
		found = true
		if o.Version != v.revision {
			v.version = 0
		}
		v.take(o)
	}
	if !found {
		v.revision, v.version = 0, 0
	}
}

// changed takes a change. The configuration stays in force if its object is deleted.
func (v *storeView) changed(c dogwoodford.Change) {
	if _, name := v.configs.dialect.ConfigObject(); c.Object.Name == name && !c.Deleted {
		v.take(c.Object)
	}
}

// take puts an object in force if it is valid and newer.
func (v *storeView) take(o dogwoodford.Object) {
	v.revision = o.Version
	t, spec, ok := v.configs.parse(o.Value, "store")
	if !ok {
		return
	}
	v.version = t.Version()
	v.configs.keys.observe(v.version, v.moment) // For the moment at which it comes into force.
	v.configs.enforce(t, spec, o.Value, "store")
}
