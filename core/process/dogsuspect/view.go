package dogsuspect

import (
	"cmp"
	"slices"
	"time"
)

// Standing determines how requests with a digest are treated.
type Standing int

const (
	// Clean digests run freely.
	Clean Standing = iota
	// Suspected digests run only while no other suspect runs at the target.
	Suspected
	// Quarantined digests are refused.
	Quarantined
)

// String returns the name of the standing in lower case.
func (s Standing) String() string {
	names := [...]string{"clean", "suspected", "quarantined"}
	if s < 0 || int(s) >= len(names) {
		return "invalid"
	}
	return names[s]
}

// Entry describes a digest that is not clean.
type Entry struct {
	Digest   uint64
	Service  string
	Standing Standing
	Deaths   int       // Deaths that count.
	Last     time.Time // Time of the last death.
	Until    time.Time // End of the quarantine or of the suspicion.
}

// View is an immutable snapshot of the suspects and quarantines. It is safe for
// concurrent use.
type View struct{ entries map[uint64]Entry }

// Lookup returns the entry of a digest; its Standing is Clean if there is none
// or it has ended.
func (v *View) Lookup(now time.Time, digest uint64) Entry {
	if v == nil {
		return Entry{}
	}
	e, ok := v.entries[digest]
	if !ok || !now.Before(e.Until) {
		return Entry{Digest: digest}
	}
	return e
}

// Entries returns all entries, sorted by digest.
func (v *View) Entries() []Entry {
	out := make([]Entry, 0, len(v.entries))
	for _, e := range v.entries {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.Digest, b.Digest) })
	return out
}
