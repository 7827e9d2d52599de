package dogoutcome

import "dogwoodford"

// Stage is how far a call came on its connection.
type Stage int

const (
	// NotDispatched means that no connection was asked for.
	NotDispatched Stage = iota
	// DialFailed means that no connection was made.
	DialFailed
	// NothingWritten means that there was a connection, and that no byte of
	// the call was or will be written to it.
	NothingWritten
	// Written means that part or all of the call may have been written.
	Written
	// Headers means that the headers of an answer were received.
	Headers
	// Truncated means that the answer broke off after its headers.
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

// Facts is what happened.
type Facts struct {
	Stage Stage
	// Peer is whether the answer came from a node, which has classified the
	// call already.
	Peer bool
	// Status is the status code of the answer.
	Status int
	// Claim is the outcome that the answer names, in the form of the header;
	// empty if it names none.
	Claim string
	// Child is whether the ledger of the request shows a child call that was
	// dispatched.
	Child bool
}

// Rule is one row of the table.
type Rule struct {
	Name    string
	Match   func(Facts) bool
	Outcome dogwoodford.Outcome
}

// Rules returns the table. The first row that matches decides.
func Rules() []Rule { return rules }

var rules = []Rule{
	{"refused before dispatch", func(f Facts) bool { return f.Stage == NotDispatched }, dogwoodford.NotRun},
	{"dial failed", func(f Facts) bool { return f.Stage == DialFailed }, dogwoodford.NotRun},
	{"nothing written", func(f Facts) bool { return f.Stage == NothingWritten }, dogwoodford.NotRun},
	{"answer broke off", func(f Facts) bool { return f.Stage == Truncated }, dogwoodford.Unknown},
	{"no answer", func(f Facts) bool { return f.Stage != Headers }, dogwoodford.Unknown},
	{"node says ran", func(f Facts) bool { return f.Peer && f.Claim == "ran" }, dogwoodford.Ran},
	{"node says not run", func(f Facts) bool { return f.Peer && f.Claim == "not-run" }, dogwoodford.NotRun},
	{"node says anything else", func(f Facts) bool { return f.Peer }, dogwoodford.Unknown},
	{"target sheds and made no child call", func(f Facts) bool {
		return f.Status == 503 && f.Claim == "not-run" && !f.Child
	}, dogwoodford.NotRun},
	{"target answered", func(Facts) bool { return true }, dogwoodford.Ran},
}

// Classify returns the outcome of a call.
func Classify(f Facts) dogwoodford.Outcome {
	for _, r := range rules {
		if r.Match(f) {
			return r.Outcome
		}
	}
	return dogwoodford.Unknown
}
