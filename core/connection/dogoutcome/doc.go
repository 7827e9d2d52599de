// Package dogoutcome classifies a call as ran, not run or unknown from what
// happened on its connection. The rules are one table, Rules.
//
// # Usage
//
//	outcome := dogoutcome.Classify(dogoutcome.Facts{Stage: dogoutcome.DialFailed})
//
// The package sees no connection itself and does not decide on further
// attempts.
package dogoutcome
