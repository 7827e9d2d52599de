package dogcall

import (
	"fmt"
	"strings"
	"time"

	"dogwoodford"
)

// Limits holds the limits of a class of a contract.
type Limits struct {
	Class      string
	Importance int           // 0 to dogwoodford.MaxImportance.
	Idempotent bool          // Whether a call of the class may run more than once.
	Deadline   time.Duration // Upper bound for the whole call tree.
	Retries    int           // Attempts beyond the first for the whole call tree.
	MaxBody    int64         // Bytes.
}

// Claims holds the headers of a caller, parsed but not verified.
type Claims struct {
	Customer    string
	Credential  string          // Without the scheme; empty if absent.
	Key         dogwoodford.Key // Zero if absent.
	Deadline    time.Duration   // Zero if absent.
	Attempt     int             // 0 if absent.
	Token       string          // Token of the request in progress that a child call belongs to; empty if absent.
	Traceparent string          // Empty if absent or malformed.
}

// ParseClaims parses the headers of a caller. Errors wrap ErrHeader and name
// the header.
func ParseClaims(h Header) (Claims, error) {
	r := headerReader{h: h}
	c := Claims{
		Customer:    r.parseToken(HeaderCustomer, false),
		Deadline:    time.Duration(r.parseNumber(HeaderDeadline, 1, MaxDeadline.Milliseconds(), 0, false)) * time.Millisecond,
		Attempt:     int(r.parseNumber(HeaderAttempt, 1, MaxAttempt, 0, false)),
		Token:       r.parseToken(HeaderRequest, false),
		Traceparent: r.traceparent(),
	}
	c.Key = r.key(false)
	if auth := r.text(HeaderAuthorization, false); auth != "" && r.err == nil {
		scheme, rest, ok := strings.Cut(auth, " ")
		if !ok || !strings.EqualFold(scheme, "Bearer") || rest == "" || strings.Contains(rest, " ") {
			// The value is a secret, so the error omits it.
			r.err = headerError(HeaderAuthorization, `is not of the form "Bearer <credential>"`)
		}
		c.Credential = rest
	}
	if r.err != nil {
		return Claims{}, fmt.Errorf("caller: %w", r.err)
	}
	return c, nil
}

// Format writes the claims to h, omitting absent ones.
func (c Claims) Format(h Header) {
	out := newHeaderWriter(h, 7)
	out.set(HeaderCustomer, c.Customer)
	out.set(HeaderKey, c.Key.String())
	out.set(HeaderRequest, c.Token)
	out.set(HeaderTraceparent, c.Traceparent)
	if c.Credential != "" {
		out.set(HeaderAuthorization, "Bearer "+c.Credential)
	}
	if c.Deadline > 0 {
		out.setNumber(HeaderDeadline, ceilMs(c.Deadline))
	}
	if c.Attempt > 0 {
		out.setNumber(HeaderAttempt, int64(c.Attempt))
	}
}

// EntrySpec returns the specification of a customer request at its entry. The
// claims can shorten the deadline of the class, but not raise any limit. The
// caller of EntrySpec sets ID, Service, Digest and ContentSize. Root is the
// claimed key, so that resends of a request keep its rank; without a claimed
// key it is empty. An idempotent request has no key.
func EntrySpec(c Claims, l Limits, now time.Time) dogwoodford.RequestSpec {
	d := l.Deadline
	if c.Deadline > 0 {
		d = min(d, c.Deadline)
	}
	spec := dogwoodford.RequestSpec{
		Customer:    c.Customer,
		Class:       l.Class,
		Importance:  l.Importance,
		Idempotent:  l.Idempotent,
		Deadline:    now.Add(d),
		Retries:     l.Retries,
		Attempt:     c.Attempt,
		ContentSize: -1,
		Root:        c.Key.String(),
	}
	if !l.Idempotent {
		spec.Key = c.Key
	}
	if spec.Key.IsZero() {
		spec.Attempt = max(1, c.Attempt) // No earlier attempt can have had the key.
	}
	return spec
}

// ChildSpec holds the properties of a child call that it does not inherit from
// its parent.
type ChildSpec struct {
	Service         string
	Idempotent      bool            // From the class of the child call itself.
	Retries         int             // Share taken from the ledger of the parent.
	ClaimedDeadline time.Duration   // Deadline claimed by the target, zero if none; it can only shorten the parent's.
	Key             dogwoodford.Key // Key of a non-idempotent child call.
}

// Child returns the specification of a child call of parent. Customer, class,
// importance, root and deadline are those of the parent, except that the claimed
// deadline may be earlier. The error wraps ErrHeader if the call is deeper than
// MaxHop. The caller of Child sets ID, Digest and ContentSize.
func Child(parent dogwoodford.Request, c ChildSpec, now time.Time) (dogwoodford.RequestSpec, error) {
	spec := parent.Spec()
	if spec.Hop >= MaxHop {
		return spec, headerError(HeaderHop, fmt.Sprintf("would exceed %d", MaxHop))
	}
	if d := now.Add(c.ClaimedDeadline); c.ClaimedDeadline > 0 && d.Before(spec.Deadline) {
		spec.Deadline = d
	}
	spec.ID = ""
	spec.Service = c.Service
	spec.Idempotent = c.Idempotent
	spec.Key = dogwoodford.Key{}
	if !c.Idempotent {
		spec.Key = c.Key
	}
	spec.Retries = max(0, c.Retries)
	spec.Digest = 0
	spec.ContentSize = -1
	spec.Hop++
	spec.Attempt = 1
	return spec, nil
}
