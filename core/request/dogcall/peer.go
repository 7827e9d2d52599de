package dogcall

import (
	"fmt"
	"strconv"
	"time"

	"dogwoodford"
)

// Peer is what one node tells another on a request.
type Peer struct {
	// Spec is the call. ID, Service, DataCentre and ContentSize do not travel
	// in headers. Idempotent is not sent: exactly the non-idempotent calls
	// have a key.
	Spec        dogwoodford.RequestSpec
	PeerKey     string
	Range       int   // Key range; -1 if the call has no key.
	Epoch       int64 // Epoch of the owner that dispatches; 0 if the call is on its way to the owner.
	Traceparent string
}

// ParsePeer parses the headers between nodes. The deadline counts from now.
// Errors wrap ErrHeader and name the header.
func ParsePeer(h Header, now time.Time) (Peer, error) {
	r := reader{h: h}
	p := Peer{PeerKey: r.text(HeaderPeerKey, true), Traceparent: r.traceparent()}
	ms := r.number(HeaderDeadline, 0, MaxDeadline.Milliseconds(), 0, true)
	p.Spec = dogwoodford.RequestSpec{
		Customer:    r.token(HeaderCustomer, true),
		Class:       r.token(HeaderClass, false),
		Root:        r.token(HeaderRoot, true),
		Importance:  int(r.number(HeaderImportance, 0, dogwoodford.MaxImportance, 0, true)),
		Deadline:    now.Add(time.Duration(ms) * time.Millisecond),
		Retries:     int(r.number(HeaderRetries, 0, MaxRetries, 0, true)),
		Hop:         int(r.number(HeaderHop, 0, MaxHop, 0, true)),
		Attempt:     int(r.number(HeaderAttempt, 1, MaxAttempt, 0, false)),
		Key:         r.key(false),
		ContentSize: -1,
	}
	p.Spec.Idempotent = p.Spec.Key.IsZero()
	p.Range = int(r.number(HeaderRange, 0, dogwoodford.KeyRanges-1, -1, !p.Spec.Idempotent))
	p.Epoch = r.number(HeaderEpoch, 1, 1<<62, 0, false)
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

// Format writes p to h. What remains of the deadline is rounded up to
// milliseconds, and is 0 if it has passed.
func (p Peer) Format(h Header, now time.Time) {
	s := p.Spec
	set(h, HeaderPeerKey, p.PeerKey)
	set(h, HeaderCustomer, s.Customer)
	set(h, HeaderClass, s.Class)
	set(h, HeaderRoot, s.Root)
	set(h, HeaderTraceparent, p.Traceparent)
	setNumber(h, HeaderImportance, int64(s.Importance))
	setNumber(h, HeaderDeadline, ceilMs(s.Deadline.Sub(now)))
	setNumber(h, HeaderRetries, int64(s.Retries))
	setNumber(h, HeaderHop, int64(s.Hop))
	if s.Attempt > 0 {
		setNumber(h, HeaderAttempt, int64(s.Attempt))
	}
	if s.Digest != 0 {
		set(h, HeaderDigest, fmt.Sprintf("%016x", s.Digest))
	}
	if !s.Key.IsZero() {
		set(h, HeaderKey, s.Key.String())
		setNumber(h, HeaderRange, int64(s.Key.Range()))
		if p.Epoch > 0 {
			setNumber(h, HeaderEpoch, p.Epoch)
		}
	}
}

// FormatTarget writes the headers to a target: the token of the request in
// progress, what remains of the deadline, retries and class, and the key
// unless the call is a child call.
func FormatTarget(h Header, spec dogwoodford.RequestSpec, token, traceparent string, now time.Time) {
	set(h, HeaderRequest, token)
	setNumber(h, HeaderDeadline, ceilMs(spec.Deadline.Sub(now)))
	setNumber(h, HeaderRetries, int64(spec.Retries))
	set(h, HeaderClass, spec.Class)
	set(h, HeaderTraceparent, traceparent)
	if spec.Hop == 0 {
		set(h, HeaderKey, spec.Key.String())
	}
}

func (r *reader) key(required bool) dogwoodford.Key {
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

func (r *reader) digest() uint64 {
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

func set(h Header, name, value string) {
	if value != "" {
		h[name] = []string{value}
	}
}

func setNumber(h Header, name string, n int64) { h[name] = []string{strconv.FormatInt(n, 10)} }

func ceilMs(d time.Duration) int64 {
	d = min(d, MaxDeadline)
	return max(0, int64((d+time.Millisecond-1)/time.Millisecond))
}
