package dogcall

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"dogwoodford"
)

// Report is the load that a guard reports on its answers.
type Report struct {
	// Load holds the load and the own cutoff of the guard.
	Load dogwoodford.Load
	// Called is the highest cutoff of the services that its target calls.
	Called dogwoodford.Priority
}

// Answer is what the headers of an answer say.
type Answer struct {
	Outcome     dogwoodford.Outcome
	Reason      dogwoodford.Reason
	RetryAfter  time.Duration // Zero if absent; whole seconds when formatted, rounded up.
	Report      *Report       // Between nodes only; nil if absent.
	RetriesUsed int           // Between nodes only; -1 if absent.
}

// ParseAnswer parses the headers of an answer of another node. An absent
// outcome is unknown. Errors wrap ErrHeader and name the header.
func ParseAnswer(h Header) (Answer, error) {
	r := reader{h: h}
	a := Answer{
		Reason:      dogwoodford.Reason(r.token(HeaderReason, false)),
		RetriesUsed: int(r.number(HeaderRetriesUsed, 0, MaxRetries, -1, false)),
	}
	if s := r.text(HeaderOutcome, false); s != "" && r.err == nil {
		o, err := dogwoodford.ParseOutcome(s)
		if err != nil {
			r.err = fmt.Errorf("header %s: %w: %w", HeaderOutcome, ErrHeader, err)
		}
		a.Outcome = o
	}
	// Retry-After belongs to HTTP and a target may send its date form, which
	// is of no use here.
	if v := h[HeaderRetryAfter]; len(v) == 1 {
		if n, err := number(HeaderRetryAfter, v[0], 0, 1<<31); err == nil {
			a.RetryAfter = time.Duration(n) * time.Second
		}
	}
	load := r.numbers(HeaderLoad, 3, maxCount)
	cutoff := r.numbers(HeaderCutoff, 2, int64(dogwoodford.MaxPriority)+1)
	if r.err != nil {
		return Answer{RetriesUsed: -1}, fmt.Errorf("answer: %w", r.err)
	}
	if load != nil && cutoff != nil {
		a.Report = &Report{
			Load: dogwoodford.Load{
				InFlight: int(load[0]), Queued: int(load[1]), Limit: int(load[2]),
				Cutoff: dogwoodford.Priority(cutoff[0]),
			},
			Called: dogwoodford.Priority(cutoff[1]),
		}
	}
	return a, nil
}

// Format writes the headers for a caller: outcome, reason and Retry-After.
func (a Answer) Format(h Header) {
	out := newWriter(h, 3)
	a.format(&out)
}

func (a Answer) format(out *writer) {
	out.set(HeaderOutcome, a.Outcome.String())
	out.set(HeaderReason, string(a.Reason))
	if a.RetryAfter > 0 {
		out.number(HeaderRetryAfter, int64((a.RetryAfter+time.Second-1)/time.Second))
	}
}

// FormatPeer writes the headers for another node: those of Format, the report
// and the retries used.
func (a Answer) FormatPeer(h Header) {
	out := newWriter(h, 6)
	a.format(&out)
	if a.RetriesUsed >= 0 {
		out.number(HeaderRetriesUsed, int64(a.RetriesUsed))
	}
	if a.Report != nil {
		l := a.Report.Load
		out.set(HeaderLoad, spaced(int64(l.InFlight), int64(l.Queued), int64(l.Limit)))
		out.set(HeaderCutoff, spaced(int64(l.Cutoff), int64(a.Report.Called)))
	}
}

// spaced returns numbers separated by single spaces.
func spaced(numbers ...int64) string {
	var buf [64]byte
	b := buf[:0]
	for i, n := range numbers {
		if i > 0 {
			b = append(b, ' ')
		}
		b = strconv.AppendInt(b, n, 10)
	}
	return string(b)
}

// numbers returns the n numbers of a header, which are separated by single
// spaces; nil if it is absent.
func (r *reader) numbers(name string, n int, high int64) []int64 {
	s := r.text(name, false)
	if r.err != nil || s == "" {
		return nil
	}
	parts := strings.Split(s, " ")
	if len(parts) != n {
		r.err = headerError(name, fmt.Sprintf("has not %d numbers", n))
		return nil
	}
	out := make([]int64, n)
	for i, p := range parts {
		if out[i], r.err = number(name, p, 0, high); r.err != nil {
			return nil
		}
	}
	return out
}

// IsOwn reports whether name, in canonical form, is a header of dogwoodford.
// Such headers of a caller or a target are never passed on.
func IsOwn(name string) bool { return strings.HasPrefix(name, Prefix) }
