package dogrelay

import "time"

// minLag is the lag from which it counts. Below it, the differences in transfer times are
// larger.
const minLag = 100 * time.Millisecond

// lag returns how long a request that is being read has probably waited for that, because
// the process lacks processor time: a deadline is a span that began when the request was
// sent.
func (h *Handlers) lag() time.Duration {
	if lag := h.cfg.Lag(); lag >= minLag {
		return lag
	}
	return 0
}
