package dogwoodford

import (
	"cmp"
	"fmt"
	"log/slog"
)

// Revision identifies a state of a Store, by the change that led to it, or that of an object,
// by its last change. It is the number of the change together with the era of the store: a
// store that comes back from a copy has lost changes and gives their numbers out again, in a
// new era. Revisions are comparable with ==. The zero value stands for an object that does
// not exist.
type Revision struct {
	era    int64
	number int64
}

// NewRevision returns the revision of the change with this number, from 1 on, in an era. Era
// 0 is that of a store that does not name it.
func NewRevision(era, number int64) Revision { return Revision{era: era, number: number} }

// Era returns the era, which rises by one when the store comes back from a copy.
func (r Revision) Era() int64 { return r.era }

// Number returns the number of the change within its era.
func (r Revision) Number() int64 { return r.number }

// IsZero reports whether r is the zero value.
func (r Revision) IsZero() bool { return r == Revision{} }

// Compare returns a negative number if r is earlier than other, 0 if they are equal, and a
// positive number otherwise. All revisions of an era are later than those of earlier eras.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.era, other.era), cmp.Compare(r.number, other.number))
}

// Equal reports whether r and other are the same revision.
func (r Revision) Equal(other Revision) bool { return r == other }

// String returns the number, behind the era and a slash if that is known.
func (r Revision) String() string {
	if r.era == 0 {
		return fmt.Sprint(r.number)
	}
	return fmt.Sprintf("%d/%d", r.era, r.number)
}

// LogValue implements slog.LogValuer.
func (r Revision) LogValue() slog.Value { return slog.StringValue(r.String()) }
