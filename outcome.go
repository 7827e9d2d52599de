package dogwoodford

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// Outcome says whether a request ran.
type Outcome int

const (
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown Outcome = iota
	// OutcomeRan means that a target ran the request and its response is available.
	OutcomeRan
	// OutcomeNotRun means that no target ran or will run the request.
	OutcomeNotRun
)

// ErrOutcome is returned for a string that names no outcome.
var ErrOutcome = eris.New("outcome is none of ran, not-run, unknown")

// String returns the form used in headers.
func (o Outcome) String() string {
	switch o {
	case OutcomeRan:
		return "ran"
	case OutcomeNotRun:
		return "not-run"
	default:
		return "unknown"
	}
}

// ParseOutcome parses the form used in headers.
func ParseOutcome(s string) (Outcome, error) {
	switch s {
	case "ran":
		return OutcomeRan, nil
	case "not-run":
		return OutcomeNotRun, nil
	case "unknown":
		return OutcomeUnknown, nil
	}
	return OutcomeUnknown, fmt.Errorf("parse outcome %q: %w", s, ErrOutcome)
}

// Reason says why a request was refused. The empty reason means no refusal.
type Reason string

// Reasons for refusals, as sent in the Dogwoodford-Reason header.
const (
	ReasonNone        Reason = ""
	ReasonNoConfig    Reason = "no-config"   // No contract is in force at this node.
	ReasonCredential  Reason = "credential"  // The credential does not match the contract.
	ReasonNoClass     Reason = "no-class"    // No class of the contract matches.
	ReasonBadRequest  Reason = "bad-request" // A header or path is malformed.
	ReasonTooLarge    Reason = "too-large"   // The body exceeds the bound of its class.
	ReasonOverload    Reason = "overload"    // The priority is below the cutoff.
	ReasonQueueFull   Reason = "queue-full"  // Displaced from the queue by requests of higher priority.
	ReasonDeadline    Reason = "deadline"    // The deadline would pass, or has passed, before the start.
	ReasonCancelled   Reason = "cancelled"   // The caller disconnected before the start.
	ReasonDraining    Reason = "draining"    // The target accepts no new requests.
	ReasonNoTarget    Reason = "no-target"   // No target of the service is reachable.
	ReasonRetries     Reason = "retries"     // The retry allowance or resend budget is used up.
	ReasonQuarantined Reason = "quarantined" // The content crashed its targets.
	ReasonIsolated    Reason = "isolated"    // The content is suspected of crashes and must wait until no other suspect runs.
	ReasonRange       Reason = "range"       // The owner of the key range is not available.
	ReasonKeyAge      Reason = "key-age"     // The key is older than the records, or from the future.
	ReasonDuplicate   Reason = "duplicate"   // The key was accepted before.
	ReasonLost        Reason = "lost"        // The connection failed after the dispatch.
	ReasonInternal    Reason = "internal"    // Internal error of the node.
	ReasonDownstream  Reason = "downstream"  // The calls that the request needs would most probably fail.
	ReasonTargetShed  Reason = "target-shed" // The target reported that it did not run the request.
	ReasonBadAnswer   Reason = "bad-answer"  // The response was incomplete or did not come from the target itself.
	ReasonNoRoute     Reason = "no-route"    // No route matches host and path.
	ReasonQuota       Reason = "quota"       // The workspace has used up its quota.
	ReasonStaleKeys   Reason = "stale-keys"  // The node does not know whether its keys are still valid.
)
