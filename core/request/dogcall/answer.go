package dogcall

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"dogwoodford"
)

// Report is the load that a guard reports in its responses.
type Report struct {
	// Load is the load of the guard's target, with the guard's own cutoff.
	Load dogwoodford.Load
	// DownstreamCutoff is the highest cutoff of the services that the target calls.
	DownstreamCutoff dogwoodford.Priority
}

// Answer holds the parsed headers of a response.
type Answer struct {
	Outcome     dogwoodford.Outcome
	Reason      dogwoodford.Reason
	RetryAfter  time.Duration // Zero if absent; whole seconds when formatted, rounded up.
	Report      *Report       // Between nodes only; nil if absent.
	RetriesUsed int           // Between nodes only; -1 if absent.
}

// ParseAnswer parses the headers of a response from another node. An absent
// outcome is OutcomeUnknown. Errors wrap ErrHeader and name the header.
func ParseAnswer(h Header) (Answer, error) {
	r := headerReader{h: h}
	a := Answer{
		Reason:      dogwoodford.Reason(r.parseToken(HeaderReason, false)),
		RetriesUsed: int(r.parseNumber(HeaderRetriesUsed, 0, MaxRetries, -1, false)),
	}
	if s := r.text(HeaderOutcome, false); s != "" && r.err == nil {
		o, err := dogwoodford.ParseOutcome(s)
		if err != nil {
			r.err = fmt.Errorf("header %s: %w: %w", HeaderOutcome, ErrHeader, err)
		}
		a.Outcome = o
	}
	// Retry-After is a standard header, and a target may send its date form,
	// which is not supported and therefore ignored.
	if v := h[HeaderRetryAfter]; len(v) == 1 {
		if n, err := parseNumber(HeaderRetryAfter, v[0], 0, 1<<31); err == nil {
			a.RetryAfter = time.Duration(n) * time.Second
		}
	}
	load := r.parseNumbers(HeaderLoad, 3, maxCount)
	cutoff := r.parseNumbers(HeaderCutoff, 2, int64(dogwoodford.MaxPriority)+1)
	if r.err != nil {
		return Answer{RetriesUsed: -1}, fmt.Errorf("answer: %w", r.err)
	}
	if load != nil && cutoff != nil {
		a.Report = &Report{
			Load: dogwoodford.Load{
				InFlight: int(load[0]), Queued: int(load[1]), Limit: int(load[2]),
				Cutoff: dogwoodford.Priority(cutoff[0]),
			},
			DownstreamCutoff: dogwoodford.Priority(cutoff[1]),
		}
	}
	return a, nil
}

// Format writes the headers for a caller: outcome, reason and Retry-After.
func (a Answer) Format(h Header) {
	out := newHeaderWriter(h, 3)
	a.format(&out)
}

func (a Answer) format(out *headerWriter) {
	out.set(HeaderOutcome, a.Outcome.String())
	out.set(HeaderReason, string(a.Reason))
	if a.RetryAfter > 0 {
		out.setNumber(HeaderRetryAfter, int64((a.RetryAfter+time.Second-1)/time.Second))
	}
}

// FormatPeer writes the headers for another node: those of Format, the load
// report and the retries used.
func (a Answer) FormatPeer(h Header) {
	out := newHeaderWriter(h, 6)
	a.format(&out)
	if a.RetriesUsed >= 0 {
		out.setNumber(HeaderRetriesUsed, int64(a.RetriesUsed))
	}
	if a.Report != nil {
		l := a.Report.Load
		out.set(HeaderLoad, joinNumbers(int64(l.InFlight), int64(l.Queued), int64(l.Limit)))
		out.set(HeaderCutoff, joinNumbers(int64(l.Cutoff), int64(a.Report.DownstreamCutoff)))
	}
}

// joinNumbers formats numbers, separated by single spaces.
func joinNumbers(numbers ...int64) string {
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

// parseNumbers returns the n numbers of a header, which are separated by single
// spaces; nil if the header is absent.
func (r *headerReader) parseNumbers(name string, n int, high int64) []int64 {
	s := r.text(name, false)
	if r.err != nil || s == "" {
		return nil
	}
	parts := strings.Split(s, " ")
	if len(parts) != n {
		r.err = headerError(name, fmt.Sprintf("is not a list of %d numbers", n))
		return nil
	}
	out := make([]int64, n)
	for i, p := range parts {
		if out[i], r.err = parseNumber(name, p, 0, high); r.err != nil {
			return nil
		}
	}
	return out
}

// IsReservedHeader reports whether name, in canonical form, is reserved for the
// headers of dogwoodford. Such headers from a caller or a target are never
// forwarded.
func IsReservedHeader(name string) bool { return strings.HasPrefix(name, Prefix) }
