package dogcall

import (
	"fmt"
	"strings"
	"time"

	"dogwoodford"
)

// Limits is what a class of a contract grants.
type Limits struct {
	Class      string
	Importance int           // 0 to dogwoodford.MaxImportance.
	Idempotent bool          // Whether a call of the class may run more than once.
	Deadline   time.Duration // Longest time for the whole call tree.
	Retries    int           // Attempts beyond the first for the whole call tree.
	MaxBody    int64         // Bytes.
}

// Claims are the headers of a caller, parsed but not believed.
type Claims struct {
	Customer    string
	Credential  string          // Without the scheme; empty if absent.
	Key         dogwoodford.Key // Zero if absent.
	Deadline    time.Duration   // Zero if absent.
	Attempt     int             // 0 if absent.
	Token       string          // Request in progress that a child call belongs to; empty if absent.
	Traceparent string          // Empty if absent or malformed.
}

// ParseClaims parses the headers of a caller. Errors wrap ErrHeader and name
// the header.
func ParseClaims(h Header) (Claims, error) {
	r := reader{h: h}
	c := Claims{
		Customer:    r.token(HeaderCustomer, false),
		Deadline:    time.Duration(r.number(HeaderDeadline, 1, MaxDeadline.Milliseconds(), 0, false)) * time.Millisecond,
		Attempt:     int(r.number(HeaderAttempt, 1, MaxAttempt, 0, false)),
		Token:       r.token(HeaderRequest, false),
		Traceparent: r.traceparent(),
	}
	c.Key = r.key(false)
	if auth := r.text(HeaderAuthorization, false); auth != "" && r.err == nil {
		scheme, rest, ok := strings.Cut(auth, " ")
		if !ok || !strings.EqualFold(scheme, "Bearer") || rest == "" || strings.Contains(rest, " ") {
			// The value is a secret, so the message leaves it out.
			r.err = headerError(HeaderAuthorization, `is not of the form "Bearer <credential>"`)
		}
		c.Credential = rest
	}
	if r.err != nil {
		return Claims{}, fmt.Errorf("caller: %w", r.err)
	}
	return c, nil
}

// Format writes the claims to h, leaving out what is absent.
func (c Claims) Format(h Header) {
	out := newWriter(h, 7)
	out.set(HeaderCustomer, c.Customer)
	out.set(HeaderKey, c.Key.String())
	out.set(HeaderRequest, c.Token)
	out.set(HeaderTraceparent, c.Traceparent)
	if c.Credential != "" {
		out.set(HeaderAuthorization, "Bearer "+c.Credential)
	}
	if c.Deadline > 0 {
		out.number(HeaderDeadline, ceilMs(c.Deadline))
	}
	if c.Attempt > 0 {
		out.number(HeaderAttempt, int64(c.Attempt))
	}
}

// Bound returns the specification of a customer request at its entry: the
// claims can lower the deadline of the class, and raise nothing. ID, Service,
// Digest and ContentSize are left to the caller of Bound. Root is the key that
// the caller names, so that its resends keep their rank; else it is empty. An
// idempotent request has no key.
func Bound(c Claims, l Limits, now time.Time) dogwoodford.RequestSpec {
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
		spec.Attempt = max(1, c.Attempt) // No earlier send can have had the key.
	}
	return spec
}

// ChildSpec is what is known of a child call besides its parent.
type ChildSpec struct {
	Service    string
	Idempotent bool            // From the class of the child call itself.
	Retries    int             // Share taken from the ledger of the parent.
	Claimed    time.Duration   // Deadline claimed by the target, zero if none; it can only shorten.
	Key        dogwoodford.Key // Key of a non-idempotent child call.
}

// Child returns the specification of a child call of parent. Customer, class,
// importance, root and deadline are those of the parent. It returns ErrHeader
// for a call deeper than MaxHop. ID, Digest and ContentSize are left to the
// caller.
func Child(parent dogwoodford.Request, c ChildSpec, now time.Time) (dogwoodford.RequestSpec, error) {
	spec := parent.Spec()
	if spec.Hop >= MaxHop {
		return spec, headerError(HeaderHop, fmt.Sprintf("would exceed %d", MaxHop))
	}
	if d := now.Add(c.Claimed); c.Claimed > 0 && d.Before(spec.Deadline) {
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
