// Package dogoutcome classifies a call as ran, not run or unknown from the
// progress of the call on its connection and from the response. Rules returns
// the classification table.
//
// # Usage
//
//	outcome := dogoutcome.Classify(dogoutcome.Facts{Stage: dogoutcome.DialFailed})
//
// The package does no I/O and does not decide on further attempts.
package dogoutcome
