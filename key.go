package dogwoodford

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
)

// KeyRanges is the number of key ranges of a service. It is constant, so that
// the number of writes to the platform by range owners does not grow with the
// number of nodes.
const KeyRanges = 8

// ErrKey is returned for a string that is not a UUID of version 7.
var ErrKey = eris.New("key is not a UUID of version 7")

// Key identifies a non-idempotent request: a UUID of version 7, whose first 48
// bits are its issue time in milliseconds since the Unix epoch. The zero value
// means that there is no key.
type Key struct{ id uuid.UUID }

// ParseKey parses the hyphenated text form of a UUID of version 7. Errors wrap
// ErrKey.
func ParseKey(s string) (Key, error) {
	// Only the 36-character form is accepted, so that a key has a single text
	// form apart from case; uuid.Parse also takes URNs, braces and the form
	// without hyphens.
	if len(s) != 36 {
		return Key{}, fmt.Errorf("parse key %q: %w", truncate(s), ErrKey)
	}
	id, err := uuid.Parse(s)
	if err != nil || id.Version() != 7 {
		return Key{}, fmt.Errorf("parse key %q: %w", truncate(s), ErrKey)
	}
	return Key{id: id}, nil
}

// MakeKey returns the key with the given issue time and random bits.
func MakeKey(issued time.Time, hi, lo uint64) Key {
	var k Key
	binary.BigEndian.PutUint64(k.id[:8], uint64(issued.UnixMilli())<<16|hi&0x0fff)
	binary.BigEndian.PutUint64(k.id[8:], lo)
	k.id[6] = 0x70 | k.id[6]&0x0f
	k.id[8] = 0x80 | k.id[8]&0x3f
	return k
}

// IsZero reports whether k is the zero value, which means that there is no key.
func (k Key) IsZero() bool { return k.id == uuid.UUID{} }

// Issued returns the issue time, with a resolution of one millisecond.
func (k Key) Issued() time.Time {
	return time.UnixMilli(int64(binary.BigEndian.Uint64(k.id[:8]) >> 16))
}

// Range returns the number of the key range, in [0, KeyRanges). It depends on
// the random bits of the key only.
func (k Key) Range() int {
	x := binary.BigEndian.Uint64(k.id[8:]) * 0x9e3779b97f4a7c15
	return int(x>>32) % KeyRanges
}

// String returns the hyphenated text form in lower case, empty for the zero
// key.
func (k Key) String() string {
	if k.IsZero() {
		return ""
	}
	return k.id.String()
}

// truncate limits the length of untrusted text in error messages.
func truncate(s string) string {
	const maxBytes = 64
	if len(s) > maxBytes {
		return s[:maxBytes] + "..."
	}
	return s
}
