package dogtable

import "sync/atomic"

// Holder keeps the newest table passed to Offer. The zero value holds none. It is
// safe for concurrent use.
type Holder struct{ current atomic.Pointer[Table] }

// Table returns the table in force, nil if there is none yet.
func (h *Holder) Table() *Table { return h.current.Load() }

// Version returns the version in force, 0 if there is none yet.
func (h *Holder) Version() int64 {
	if t := h.Table(); t != nil {
		return t.version
	}
	return 0
}

// Offer puts t in force if it is newer than the current table, and reports
// whether it did. A late answer from the store therefore cannot restore an older
// version.
func (h *Holder) Offer(t *Table) bool {
	for {
		old := h.current.Load()
		if old != nil && old.version >= t.version {
			return false
		}
		if h.current.CompareAndSwap(old, t) {
			return true
		}
	}
}
