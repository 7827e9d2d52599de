package dogoutcome

import "dogwoodford"

// Stage is how far a call progressed on its connection.
type Stage int

const (
	// NotDispatched means that no connection was requested.
	NotDispatched Stage = iota
	// DialFailed means that no connection could be established.
	DialFailed
	// NothingWritten means that a connection was established, but no byte of
	// the call was or will be written to it.
	NothingWritten
	// Written means that part or all of the call may have been written.
	Written
	// Headers means that the headers of a response were received.
	Headers
	// Truncated means that the response ended prematurely after its headers.
	Truncated
)

// String returns the name of the stage.
func (s Stage) String() string {
	names := [...]string{"not-dispatched", "dial-failed", "nothing-written", "written", "headers", "truncated"}
	if s < 0 || int(s) >= len(names) {
		return "invalid"
	}
	return names[s]
}

// Facts holds the observations that determine the outcome of a call.
type Facts struct {
	Stage Stage
	// FromPeer is whether the response came from a node, which has already
	// classified the call.
	FromPeer bool
	// Status is the HTTP status code of the response.
	Status int
	// ClaimedOutcome is the outcome that the response states, in the form of the header;
	// empty if it states none.
	ClaimedOutcome string
	// ChildDispatched is whether a child call was dispatched, according to the ledger of
	// the request.
	ChildDispatched bool
}

// Rule is one row of the classification table.
type Rule struct {
	Name    string
	Match   func(Facts) bool
	Outcome dogwoodford.Outcome
}

// Rules returns the classification table. The first rule that matches decides.
// The caller must not modify it.
func Rules() []Rule { return rules }

var rules = []Rule{
	{"refused before dispatch", func(f Facts) bool { return f.Stage == NotDispatched }, dogwoodford.OutcomeNotRun},
	{"dial failed", func(f Facts) bool { return f.Stage == DialFailed }, dogwoodford.OutcomeNotRun},
	{"nothing written", func(f Facts) bool { return f.Stage == NothingWritten }, dogwoodford.OutcomeNotRun},
	{"response truncated", func(f Facts) bool { return f.Stage == Truncated }, dogwoodford.OutcomeUnknown},
	{"no response", func(f Facts) bool { return f.Stage != Headers }, dogwoodford.OutcomeUnknown},
	{"node reports ran", func(f Facts) bool { return f.FromPeer && f.ClaimedOutcome == "ran" }, dogwoodford.OutcomeRan},
	{"node reports not run", func(f Facts) bool { return f.FromPeer && f.ClaimedOutcome == "not-run" }, dogwoodford.OutcomeNotRun},
	{"node reports anything else", func(f Facts) bool { return f.FromPeer }, dogwoodford.OutcomeUnknown},
	{"target sheds and made no child call", func(f Facts) bool {
		return f.Status == 503 && f.ClaimedOutcome == "not-run" && !f.ChildDispatched
	}, dogwoodford.OutcomeNotRun},
	{"target answered", func(Facts) bool { return true }, dogwoodford.OutcomeRan},
}

// Classify returns the outcome of a call, as the first matching rule gives it.
func Classify(f Facts) dogwoodford.Outcome {
	for _, r := range rules {
		if r.Match(f) {
			return r.Outcome
		}
	}
	return dogwoodford.OutcomeUnknown
}
