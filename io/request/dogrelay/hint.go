package dogrelay

import (
	"time"

	"dogwoodford"
)

// RetryHint returns the retry hint of an entry that refuses a request for a reason whose
// hint is always the same, 0 if there is none.
func RetryHint(r dogwoodford.Reason) time.Duration {
	switch r {
	case dogwoodford.ReasonDraining:
		return drainingRetryAfter
	case dogwoodford.ReasonNoConfig:
		return noConfigRetryAfter
	case dogwoodford.ReasonStaleKeys:
		return staleKeysRetryAfter
	case dogwoodford.ReasonNoTarget:
		return noTargetRetryAfter
	}
	return 0
}
