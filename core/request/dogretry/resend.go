package dogretry

import "sync"

// Resends holds the resend budget of each customer: a token bucket that is
// filled by a percentage of the first attempts. It is safe for concurrent use.
type Resends struct {
	mu      sync.Mutex
	buckets map[string]int // Tokens in hundredths.
}

// unit is one resend. A first attempt adds the percentage in hundredths.
const unit = 100

// NewResends returns budgets that are full for every customer.
func NewResends() *Resends { return &Resends{buckets: make(map[string]int)} }

// First records a first attempt. The customer must be known to a contract, as
// an entry is kept for each.
func (r *Resends) First(customer string, percent, burst int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.buckets[customer] = min(r.level(customer, burst)+max(0, percent), unit*max(0, burst))
}

// Resend takes one resend and reports whether there was one.
func (r *Resends) Resend(customer string, burst int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.level(customer, burst)
	if n < unit {
		return false
	}
	r.buckets[customer] = n - unit
	return true
}

// level needs r.mu. A burst that a contract lowered takes effect at once.
func (r *Resends) level(customer string, burst int) int {
	n, ok := r.buckets[customer]
	if !ok {
		return unit * max(0, burst)
	}
	return min(n, unit*max(0, burst))
}
