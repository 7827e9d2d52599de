package dogdigest

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
)

// HashedBodyBytes is the number of leading bytes of the body that the digest covers.
const HashedBodyBytes = 64 << 10

// Digest computes the digest of the content of one request. It is not safe for
// concurrent use.
type Digest struct {
	h         hash.Hash
	remaining int
}

// New returns the digest of a request without a body; Write adds the body.
func New(customer, service, method, path string) *Digest {
	// SHA-256 prevents a customer from constructing collisions between a
	// quarantined digest and the content of another customer, or harmless
	// content of its own.
	d := &Digest{h: sha256.New(), remaining: HashedBodyBytes}
	buf := make([]byte, 0, 128)
	for _, s := range []string{customer, service, method, path} {
		// The length prefix of each field distinguishes ("a","bc") from ("ab","c").
		buf = binary.AppendUvarint(buf, uint64(len(s)))
		buf = append(buf, s...)
	}
	d.h.Write(buf)
	return d
}

// Write adds the next chunk of the body. Bytes beyond the first HashedBodyBytes
// are ignored. The error is always nil.
func (d *Digest) Write(p []byte) (int, error) {
	n := min(len(p), d.remaining)
	d.h.Write(p[:n])
	d.remaining -= n
	return len(p), nil
}

// Complete reports whether further chunks of the body can no longer change the
// digest.
func (d *Digest) Complete() bool { return d.remaining == 0 }

// Sum64 returns the digest of the data written so far. It is never zero, as zero
// stands for an unknown digest.
func (d *Digest) Sum64() uint64 {
	return max(1, binary.BigEndian.Uint64(d.h.Sum(nil)))
}
