package dogpressure

import (
	"time"

	"dogwoodford"
)

// Inspect returns the cutoff that Admit would apply to r, and the Retry-After hint of a
// refusal, before jitter. It changes nothing.
func (t *Table) Inspect(now time.Time, r dogwoodford.Request) (cutoff dogwoodford.Priority, retryAfter time.Duration) {
	d := serviceClass{service: r.Service(), class: classOf(r)}
	if cached, ok := t.cutoffs[d]; ok && t.opts.Refresh > 0 && now.Before(cached.expiry) {
		cutoff = cached.value
	} else {
		cutoff = t.combine(now, d.service, d.class)
	}
	share := refusalShare{at: now}
	if s := t.shares[d]; s != nil {
		share = *s
	}
	share.record(now, true)
	return cutoff, share.retryAfter()
}
