package dogwoodford

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
)

// KeyRanges is the number of key ranges of a service. It is constant, so that
// the platform writes for owners do not grow with the fleet.
const KeyRanges = 8

// ErrKey is returned for a text that is not a UUID of version 7.
var ErrKey = eris.New("key is not a UUID of version 7")

// Key names a non-idempotent request: a UUID of version 7, whose first 48 bits
// are its issue time in milliseconds since the Unix epoch. The zero value
// means that there is no key.
type Key struct{ id uuid.UUID }

// ParseKey parses the usual text form of a UUID of version 7.
func ParseKey(s string) (Key, error) {
	// Only the 36-character form is accepted, so that one key has one text.
	if len(s) != 36 {
		return Key{}, fmt.Errorf("parse key %q: %w", clip(s), ErrKey)
	}
	id, err := uuid.Parse(s)
	if err != nil || id.Version() != 7 {
		return Key{}, fmt.Errorf("parse key %q: %w", clip(s), ErrKey)
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

// IsZero reports whether there is no key.
func (k Key) IsZero() bool { return k.id == uuid.UUID{} }

// Issued returns the issue time, with a resolution of one millisecond.
func (k Key) Issued() time.Time {
	return time.UnixMilli(int64(binary.BigEndian.Uint64(k.id[:8]) >> 16))
}

// Range returns the key range, in [0, KeyRanges).
func (k Key) Range() int {
	x := binary.BigEndian.Uint64(k.id[8:]) * 0x9e3779b97f4a7c15
	return int(x>>32) % KeyRanges
}

// String returns the text form, empty for the zero key.
func (k Key) String() string {
	if k.IsZero() {
		return ""
	}
	return k.id.String()
}

// clip bounds the length of untrusted text in messages.
func clip(s string) string {
	const most = 64
	if len(s) > most {
		return s[:most] + "..."
	}
	return s
}
