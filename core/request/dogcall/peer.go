package dogcall

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"strconv"
	"time"

	"dogwoodford"
)

// Peer holds the headers that one node sends to another with a request.
type Peer struct {
	// Spec is the call. ID, Service, DataCentre and ContentSize are not sent.
	// Neither is Idempotent, as exactly the non-idempotent calls have a key.
	Spec        dogwoodford.RequestSpec
	PeerKey     string
	Range       int   // Key range; -1 if the call has no key.
	Epoch       int64 // Epoch of the owner that dispatches the call; 0 while it is forwarded to the owner.
	Traceparent string
}

// ParsePeer parses the headers between nodes. The header of the deadline gives
// the time that remains from now. Errors wrap ErrHeader and name the header.
func ParsePeer(h Header, now time.Time) (Peer, error) {
	r := headerReader{h: h}
	p := Peer{PeerKey: r.text(HeaderPeerKey, true), Traceparent: r.traceparent()}
	ms := r.parseNumber(HeaderDeadline, 0, MaxDeadline.Milliseconds(), 0, true)
	p.Spec = dogwoodford.RequestSpec{
		Customer:    r.parseToken(HeaderCustomer, true),
		Class:       r.parseToken(HeaderClass, false),
		Root:        r.parseToken(HeaderRoot, true),
		Importance:  int(r.parseNumber(HeaderImportance, 0, dogwoodford.MaxImportance, 0, true)),
		Deadline:    now.Add(time.Duration(ms) * time.Millisecond),
		Retries:     int(r.parseNumber(HeaderRetries, 0, MaxRetries, 0, true)),
		Hop:         int(r.parseNumber(HeaderHop, 0, MaxHop, 0, true)),
		Attempt:     int(r.parseNumber(HeaderAttempt, 1, MaxAttempt, 0, false)),
		Key:         r.key(false),
		ContentSize: -1,
	}
	p.Spec.Idempotent = p.Spec.Key.IsZero()
	p.Range = int(r.parseNumber(HeaderRange, 0, dogwoodford.KeyRanges-1, -1, !p.Spec.Idempotent))
	p.Epoch = r.parseNumber(HeaderEpoch, 1, 1<<62, 0, false)
	p.Spec.Digest = r.digest()
	if r.err == nil && p.Range >= 0 && (p.Spec.Idempotent || p.Range != p.Spec.Key.Range()) {
		r.err = headerError(HeaderRange, "is not the range of the key")
	}
	if r.err == nil && p.Epoch > 0 && p.Spec.Idempotent {
		r.err = headerError(HeaderEpoch, "needs a key")
	}
	if r.err != nil {
		return Peer{}, fmt.Errorf("peer: %w", r.err)
	}
	return p, nil
}

// Format writes p to h. The deadline is written as the remaining time, rounded
// up to milliseconds; 0 if it has passed.
func (p Peer) Format(h Header, now time.Time) {
	s := p.Spec
	out := newHeaderWriter(h, 14)
	out.set(HeaderPeerKey, p.PeerKey)
	out.set(HeaderCustomer, s.Customer)
	out.set(HeaderClass, s.Class)
	out.set(HeaderRoot, s.Root)
	out.set(HeaderTraceparent, p.Traceparent)
	out.setNumber(HeaderImportance, int64(s.Importance))
	out.setNumber(HeaderDeadline, ceilMs(s.Deadline.Sub(now)))
	out.setNumber(HeaderRetries, int64(s.Retries))
	out.setNumber(HeaderHop, int64(s.Hop))
	if s.Attempt > 0 {
		out.setNumber(HeaderAttempt, int64(s.Attempt))
	}
	if s.Digest != 0 {
		out.set(HeaderDigest, formatDigest(s.Digest))
	}
	if !s.Key.IsZero() {
		out.set(HeaderKey, s.Key.String())
		out.setNumber(HeaderRange, int64(s.Key.Range()))
		if p.Epoch > 0 {
			out.setNumber(HeaderEpoch, p.Epoch)
		}
	}
}

// FormatTarget writes the headers for a target: the token of the request in
// progress, the time that remains until the deadline, retries, class and
// traceparent, and the key unless the call is a child call.
func FormatTarget(h Header, spec dogwoodford.RequestSpec, token, traceparent string, now time.Time) {
	out := newHeaderWriter(h, 6)
	out.set(HeaderRequest, token)
	out.setNumber(HeaderDeadline, ceilMs(spec.Deadline.Sub(now)))
	out.setNumber(HeaderRetries, int64(spec.Retries))
	out.set(HeaderClass, spec.Class)
	out.set(HeaderTraceparent, traceparent)
	if spec.Hop == 0 {
		out.set(HeaderKey, spec.Key.String())
	}
}

func (r *headerReader) key(required bool) dogwoodford.Key {
	s := r.text(HeaderKey, required)
	if r.err != nil || s == "" {
		return dogwoodford.Key{}
	}
	k, err := dogwoodford.ParseKey(s)
	if err == nil && k.String() != s {
		r.err = headerError(HeaderKey, "is not in lower case")
	}
	if err != nil {
		r.err = fmt.Errorf("header %s: %w: %w", HeaderKey, ErrHeader, err)
	}
	return k
}

func (r *headerReader) digest() uint64 {
	s := r.text(HeaderDigest, false)
	if r.err != nil || s == "" {
		return 0
	}
	n, err := strconv.ParseUint(s, 16, 64)
	if err != nil || n == 0 || fmt.Sprintf("%016x", n) != s {
		r.err = headerError(HeaderDigest, "is not a non-zero number of 16 hexadecimal digits")
		return 0
	}
	return n
}

// headerWriter sets headers. The values share one array, as a separate slice
// for each value would cost an allocation.
type headerWriter struct {
	h      Header
	values []string
}

// newHeaderWriter returns a writer with room for n headers; further headers
// cost allocations.
func newHeaderWriter(h Header, n int) headerWriter {
	return headerWriter{h: h, values: make([]string, 0, n)}
}

// set sets a header unless value is empty.
func (w *headerWriter) set(name, value string) {
	if value == "" {
		return
	}
	w.values = append(w.values, value)
	n := len(w.values)
	// The limited capacity prevents http.Header.Add on one header from
	// overwriting the value of the next.
	w.h[name] = w.values[n-1 : n : n]
}

func (w *headerWriter) setNumber(name string, n int64) { w.set(name, strconv.FormatInt(n, 10)) }

// formatDigest returns d as 16 hexadecimal digits.
func formatDigest(d uint64) string {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], d)
	return hex.EncodeToString(b[:])
}

func ceilMs(d time.Duration) int64 {
	d = min(d, MaxDeadline)
	return max(0, int64((d+time.Millisecond-1)/time.Millisecond))
}
