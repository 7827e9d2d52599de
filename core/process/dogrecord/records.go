package dogrecord

import (
	"time"

	"dogwoodford"
)

// Options bound the records of an owner. Zero fields take the defaults.
type Options struct {
	Retention   time.Duration // Age of the oldest key that is remembered; 10 min.
	Answer      int           // Largest answer that is kept, in bytes; 4 KiB.
	AnswerBytes int64         // All kept answers, in bytes; 64 MiB.
	Records     int           // Number of records; 600,000.
	Shards      int           // Power of two; 64.
}

// Attempt is a request to run a key.
type Attempt struct {
	Key    dogwoodford.Key
	Number int    // Range of the key, from dogrange.Grant.
	Epoch  int64  // Epoch whose window holds the key, from dogrange.Grant.
	Scope  uint64 // Hash of the customer and of what else must match for a replay.
	// Attempt counts the sends of this key by its caller, from 1. A key that
	// is recorded as not run runs again only for a higher number, so that a
	// delayed earlier attempt cannot run after its caller was told "not run".
	Attempt int
}

// Answer is what an owner knows about an attempt.
type Answer int

// Answers of Begin.
const (
	RunNow     Answer = iota // The key is recorded as in progress; dispatch it.
	InProgress               // Another attempt is in progress.
	Replay                   // The key ran and its answer is kept.
	RanBefore                // The key ran and its answer is not kept.
	NotRun                   // The attempt did not run and will not.
	Unknown                  // The key may have run.
)

// Decision is the answer to an attempt.
type Decision struct {
	Answer Answer
	Reason dogwoodford.Reason // Empty for RunNow and Replay.
	Status int                // Of Replay and RanBefore.
	Body   []byte             // Of Replay; the caller must not change it.
}

// Run reports whether the caller must dispatch the key and then call Finish.
func (d Decision) Run() bool { return d.Answer == RunNow }

// Outcome returns the outcome to tell the sender; Unknown for RunNow.
func (d Decision) Outcome() dogwoodford.Outcome {
	switch d.Answer {
	case Replay, RanBefore:
		return dogwoodford.Ran
	case NotRun:
		return dogwoodford.NotRun
	default:
		return dogwoodford.Unknown
	}
}

// Result is the end of a key that was begun.
type Result struct {
	Outcome dogwoodford.Outcome
	Status  int
	Answer  []byte // Encoded answer; kept only if small enough. Not copied.
}

// Record is the fate of one key, for a handover.
type Record struct {
	Key        dogwoodford.Key
	Scope      uint64
	Attempt    int
	InProgress bool
	Outcome    dogwoodford.Outcome
	Status     int
	Answer     []byte
}

// Stats counts what is held.
type Stats struct {
	Records     int
	InProgress  int
	AnswerBytes int64
	Refused     int64 // Keys refused at the bound.
}

// Records holds the records of one owner. It is safe for concurrent use.
type Records struct{}

// New returns empty records. It panics if Shards is not a power of two.
func New(o Options) *Records { return &Records{} }

// Begin records the key as in progress, or says why it must not run.
func (r *Records) Begin(now time.Time, a Attempt) Decision { return Decision{} }

// Finish records the end of a key for which Begin said RunNow. It panics if
// the key is not in progress, unless the record has expired.
func (r *Records) Finish(key dogwoodford.Key, res Result) {}

// Cap refuses from now on keys of the epoch issued at or after the returned
// time: at, or 1 ms after the newest key begun in the epoch. Times are
// milliseconds since the Unix epoch.
func (r *Records) Cap(number int, epoch, at int64) int64 { return at }

// LiftCap undoes Cap.
func (r *Records) LiftCap(number int, epoch int64) {}

// Close refuses from now on all new keys of the epoch and of earlier ones.
// There is no way back.
func (r *Records) Close(number int, epoch int64) {}

// Busy returns how many keys of the range issued before end are in progress.
func (r *Records) Busy(number int, end int64) int { return 0 }

// Export returns the records of the range for keys issued in [start, end), and
// the first issue time from which they are complete, at least start: records
// below it have expired. Close must have been called.
func (r *Records) Export(now time.Time, number int, start, end int64) (from int64, records []Record) {
	return start, nil
}

// Import adds records of a former owner; what was in progress there counts as
// unknown. It reports whether all fit; if not, the handover failed.
func (r *Records) Import(now time.Time, records []Record) bool { return false }

// Expire forgets records beyond the retention. Begin does so as well; drivers
// call Expire every few seconds so that an idle owner frees its memory.
func (r *Records) Expire(now time.Time) {}

// Stats returns what is held.
func (r *Records) Stats() Stats { return Stats{} }
