package dogretry

import "sync"

// ResendBudgets holds the resend budget of each customer: a token bucket that is
// filled by a percentage of the first attempts. It is safe for concurrent use.
type ResendBudgets struct {
	mu      sync.Mutex
	buckets map[string]int // Tokens by customer.
}

// tokensPerResend is the cost of one resend. A first attempt adds as many tokens
// as the percentage, so a token is a hundredth of a resend.
const tokensPerResend = 100

// NewResendBudgets returns budgets that are full for each customer.
func NewResendBudgets() *ResendBudgets { return &ResendBudgets{buckets: make(map[string]int)} }

// RecordFirst records a first attempt: it adds percent hundredths of a resend, up to
// burst resends. The customer must have a contract, as the bucket of each
// customer is kept.
func (r *ResendBudgets) RecordFirst(customer string, percent, burst int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.buckets[customer] = min(r.tokens(customer, burst)+max(0, percent), tokensPerResend*max(0, burst))
}

// TryResend takes one resend from the budget of the customer and reports whether
// there was one.
func (r *ResendBudgets) TryResend(customer string, burst int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.tokens(customer, burst)
	if n < tokensPerResend {
		return false
	}
	r.buckets[customer] = n - tokensPerResend
	return true
}

// tokens returns the tokens of a customer. A burst that was lowered in the
// contract takes effect at once. The caller must hold r.mu.
func (r *ResendBudgets) tokens(customer string, burst int) int {
	n, ok := r.buckets[customer]
	if !ok {
		return tokensPerResend * max(0, burst)
	}
	return min(n, tokensPerResend*max(0, burst))
}
