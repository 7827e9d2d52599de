// Package dogrecord keeps the records with which an owner runs each key at most
// once, and the keys that a guard has received.
//
// The state of a key is held in memory only. It is kept until Retention after the
// key's issue time; an older key is refused as unknown. The horizon, the
// issue time below which keys are refused, never moves back, so a clock that steps
// back cannot make an expired key run again.
//
// # Usage
//
//	g := table.MayRun(now, key) // dogrange
//	d := records.Begin(now, dogrecord.Attempt{Key: key, Epoch: g.Epoch, Number: n, Scope: s})
//	if d.Run() {
//		// Dispatch, then:
//		records.Finish(key, dogrecord.Result{Outcome: dogwoodford.OutcomeRan, Status: 200, Answer: b})
//	}
//
// # Bounds
//
// Options.Records bounds the number of records; at the bound a new key is refused
// as not run and no record is evicted. Options.AnswerBytes bounds the kept answers;
// at the bound the oldest answers are dropped and their records remain as "ran".
//
// All methods are safe for concurrent use. The package does not decide which
// node owns a key; see dogrange. It does not encode records for the wire.
package dogrecord
