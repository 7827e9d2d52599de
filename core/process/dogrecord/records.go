package dogrecord

import (
	"hash/maphash"
	"sync/atomic"
	"time"

	"dogwoodford"
)

// Options limits the records of an owner. A zero field selects the default, which
// is given with the field.
type Options struct {
	Retention     time.Duration // Age up to which keys are kept; 10 min.
	MaxAnswerSize int           // Size of the largest answer that is kept, in bytes; 4 KiB.
	AnswerBytes   int64         // Total size of the kept answers, in bytes; 64 MiB.
	Records       int           // Number of records; 600,000.
	Shards        int           // Power of two; 64.
}

// Attempt is a request to run a key.
type Attempt struct {
	Key    dogwoodford.Key
	Number int    // Range of the key, from dogrange.Grant.
	Epoch  int64  // Epoch whose window holds the key, from dogrange.Grant.
	Scope  uint64 // Hash of the customer and of everything else that must match for a replay.
	// Attempt is the number of this send of the key by its caller, from 1. A key
	// recorded as not run runs again only for a higher number, so that a delayed
	// earlier attempt cannot run after its caller was told "not run".
	Attempt int
}

// DecisionKind is the kind of decision on an attempt.
type DecisionKind int

// Kinds of the decisions that Begin returns.
const (
	RunNow     DecisionKind = iota // The key is recorded as in progress; dispatch it.
	InProgress                     // Another attempt is in progress.
	Replay                         // The key ran and its answer is kept.
	RanBefore                      // The key ran and its answer is not kept.
	DidNotRun                      // The attempt did not run and will not.
	MayHaveRun                     // The key may have run.
)

// Decision is the decision on an attempt.
type Decision struct {
	Kind   DecisionKind
	Reason dogwoodford.Reason // Empty for RunNow and Replay.
	Status int                // Set for Replay and RanBefore.
	Body   []byte             // Set for Replay; the caller must not modify it.
}

// Run reports whether the caller must dispatch the key and then call Finish.
func (d Decision) Run() bool { return d.Kind == RunNow }

// Outcome returns the outcome to report to the sender. It is OutcomeUnknown for
// RunNow.
func (d Decision) Outcome() dogwoodford.Outcome {
	switch d.Kind {
	case Replay, RanBefore:
		return dogwoodford.OutcomeRan
	case DidNotRun:
		return dogwoodford.OutcomeNotRun
	default:
		return dogwoodford.OutcomeUnknown
	}
}

// Result is the result of a key that was begun.
type Result struct {
	Outcome dogwoodford.Outcome
	Status  int
	Answer  []byte // Encoded answer; kept if not nil and small enough. Not copied.
}

// Record is the state of one key, as transferred in a handover.
type Record struct {
	Key        dogwoodford.Key
	Scope      uint64
	Attempt    int
	InProgress bool
	Outcome    dogwoodford.Outcome
	Status     int
	Answer     []byte
}

// Stats describes the records that are held.
type Stats struct {
	Records     int
	InProgress  int
	AnswerBytes int64
	Refused     int64 // Keys refused at the bound.
}

// Records holds the records of one owner. It is safe for concurrent use.
type Records struct {
	o       Options
	seed    maphash.Seed
	shards  []shard
	count   atomic.Int64
	refused atomic.Int64
}

// New returns empty records. It panics if Shards is not a power of two.
func New(o Options) *Records {
	if o.Retention == 0 {
		o.Retention = 10 * time.Minute
	}
	if o.MaxAnswerSize == 0 {
		o.MaxAnswerSize = 4 << 10
	}
	if o.AnswerBytes == 0 {
		o.AnswerBytes = 64 << 20
	}
	if o.Records == 0 {
		o.Records = 600_000
	}
	if o.Shards == 0 {
		o.Shards = 64
	}
	if o.Shards < 1 || o.Shards&(o.Shards-1) != 0 {
		panic("dogrecord: shards not a power of two")
	}
	r := &Records{o: o, seed: maphash.MakeSeed(), shards: make([]shard, o.Shards)}
	for i := range r.shards {
		r.shards[i].buckets = make(map[int64]bucket)
	}
	return r
}

// Begin records the key as in progress if it may run now. Otherwise the decision
// tells why it must not run.
func (r *Records) Begin(now time.Time, a Attempt) Decision {
	s := r.shard(a.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	r.count.Add(-s.raiseHorizon(now.Add(-r.o.Retention).UnixMilli()))
	issued := a.Key.Issued().UnixMilli()
	if issued < s.horizon {
		return Decision{Kind: MayHaveRun, Reason: dogwoodford.ReasonKeyAge}
	}
	rec, known := s.get(a.Key)
	if known {
		if d, settled := rec.decide(a); settled {
			return d
		}
	}
	if !s.fences[a.Number].admits(a.Epoch, issued) {
		return a.refuse(dogwoodford.ReasonRange)
	}
	if !known && !r.reserve() {
		return a.refuse(dogwoodford.ReasonOverload)
	}
	f := &s.fences[a.Number]
	f.newest = max(f.newest, issued)
	s.put(a.Key, record{scope: a.Scope, attempt: clampAttempt(a.Attempt), state: inProgress, number: uint8(a.Number)})
	s.inProgressCount++
	return Decision{Kind: RunNow}
}

// refuse returns the decision on an attempt that is refused without a record. For
// a second or later attempt it is MayHaveRun, because an earlier one may be in flight
// and still be admitted.
func (a Attempt) refuse(reason dogwoodford.Reason) Decision {
	if a.Attempt == 1 {
		return Decision{Kind: DidNotRun, Reason: reason}
	}
	return Decision{Kind: MayHaveRun, Reason: reason}
}

// reserve counts one more record and reports whether the bound allows it.
func (r *Records) reserve() bool {
	if r.count.Add(1) > int64(r.o.Records) {
		r.count.Add(-1)
		r.refused.Add(1)
		return false
	}
	return true
}

// Finish records the result of a key for which Begin returned RunNow. It panics if
// the key is not in progress, unless the record has expired.
func (r *Records) Finish(key dogwoodford.Key, res Result) {
	s := r.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	rec, ok := s.get(key)
	if !ok {
		if key.Issued().UnixMilli() >= s.horizon {
			panic("dogrecord: finish of a key that was not begun")
		}
		return
	}
	if rec.state != inProgress {
		panic("dogrecord: finish of a key that is not in progress")
	}
	s.inProgressCount--
	rec.state = stateOf(res.Outcome)
	rec.status = int16(res.Status)
	r.keepAnswer(s, key, &rec, res.Answer)
	s.put(key, rec)
}

// keepAnswer attaches an answer to rec if it is small enough. It drops the oldest
// answers of the shard to stay within the shard's part of Options.AnswerBytes.
func (r *Records) keepAnswer(s *shard, key dogwoodford.Key, rec *record, answer []byte) {
	rec.answer = nil
	if rec.state != ran || answer == nil || len(answer) > r.o.MaxAnswerSize {
		return
	}
	size := answerCost(answer)
	limit := r.o.AnswerBytes / int64(len(r.shards))
	if size > limit {
		return
	}
	s.dropAnswers(limit - size)
	kept := answer // Only an answer that is kept escapes to the heap.
	rec.answer = &kept
	s.answerBytes += size
	s.order = append(s.order, key)
}

// Cap makes Begin refuse keys of the epoch issued at or after the returned time,
// which is the later of at and 1 ms after the newest key begun in the range. Times
// are in milliseconds since the Unix epoch.
func (r *Records) Cap(number int, epoch, at int64) int64 {
	// All shards are locked at once, so that no key begins after the newest
	// issue time has been read and before the cap is set.
	r.lockAll()
	defer r.unlockAll()
	for i := range r.shards {
		at = max(at, r.shards[i].fences[number].newest+1)
	}
	for i := range r.shards {
		r.shards[i].fences[number].setCap(epoch, at)
	}
	return at
}

// LiftCap undoes Cap.
func (r *Records) LiftCap(number int, epoch int64) {
	r.lockAll()
	defer r.unlockAll()
	for i := range r.shards {
		r.shards[i].fences[number].liftCap(epoch)
	}
}

// Close makes Begin refuse all new keys of the epoch and of earlier epochs. It
// cannot be undone.
func (r *Records) Close(number int, epoch int64) {
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		s.fences[number].close(epoch)
		s.mu.Unlock()
	}
}

// CountInProgress returns how many keys of the range issued before end are in
// progress.
func (r *Records) CountInProgress(number int, end int64) int {
	n := 0
	r.each(number, 0, end, func(_ dogwoodford.Key, rec record) {
		if rec.state == inProgress {
			n++
		}
	})
	return n
}

// Export returns the records of the range for keys issued in [start, end). They are
// complete from the issue time from, which is at least start; records of earlier
// keys may have expired. Close must have been called.
func (r *Records) Export(now time.Time, number int, start, end int64) (from int64, records []Record) {
	r.Expire(now)
	from = start
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		from = max(from, s.horizon)
		s.mu.Unlock()
	}
	r.each(number, from, end, func(k dogwoodford.Key, rec record) {
		records = append(records, rec.export(k))
	})
	return from, records
}

// Import adds records of a previous owner; a key that was in progress there becomes
// unknown. It reports whether all records were added; if not, the handover has
// failed.
func (r *Records) Import(now time.Time, records []Record) bool {
	for i := range records {
		in := &records[i]
		if in.Key.IsZero() {
			return false
		}
		if !r.importOne(now, in) {
			return false
		}
	}
	return true
}

func (r *Records) importOne(now time.Time, in *Record) bool {
	s := r.shard(in.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	r.count.Add(-s.raiseHorizon(now.Add(-r.o.Retention).UnixMilli()))
	if in.Key.Issued().UnixMilli() < s.horizon {
		return true // Keys of this age are refused without a record.
	}
	old, known := s.get(in.Key)
	if known && !old.replacedBy(in) {
		return true
	}
	if !known && !r.reserve() {
		return false
	}
	rec := record{
		scope: in.Scope, attempt: clampAttempt(in.Attempt), state: stateOf(in.Outcome),
		status: int16(in.Status), number: uint8(in.Key.Range()),
	}
	if in.InProgress {
		rec.state = unknown
	}
	r.keepAnswer(s, in.Key, &rec, in.Answer)
	s.put(in.Key, rec)
	return true
}

// Expire removes records older than the retention. Begin does so as well; Expire
// should be called every few seconds so that an idle owner frees its memory.
func (r *Records) Expire(now time.Time) {
	h := now.Add(-r.o.Retention).UnixMilli()
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		r.count.Add(-s.raiseHorizon(h))
		s.mu.Unlock()
	}
}

// Stats returns the present counts.
func (r *Records) Stats() Stats {
	st := Stats{Records: int(r.count.Load()), Refused: r.refused.Load()}
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		st.InProgress += s.inProgressCount
		st.AnswerBytes += s.answerBytes
		s.mu.Unlock()
	}
	return st
}
