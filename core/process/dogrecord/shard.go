package dogrecord

import (
	"cmp"
	"hash/maphash"
	"math"
	"slices"
	"sync"

	"dogwoodford"
)

// bucketMs is the length of an interval of issue times whose records expire
// together. Expiry deletes whole maps, which costs nothing per record. With a
// retention of 600 s, intervals of 16 s keep records at most 3% longer than needed.
const bucketMs = 16 << 10

// answerOverhead is the memory in bytes that an answer costs beyond its content:
// the slice header, its entry in shard.order and the rounding of the allocator.
const answerOverhead = 64

func answerCost(b []byte) int64 { return int64(len(b)) + answerOverhead }

type state uint8

const (
	inProgress state = iota
	ran
	notRun
	unknown
)

func stateOf(o dogwoodford.Outcome) state {
	switch o {
	case dogwoodford.OutcomeRan:
		return ran
	case dogwoodford.OutcomeNotRun:
		return notRun
	default:
		return unknown
	}
}

// record is the state of one key. It is kept small because there is one for every
// key of the last ten minutes.
type record struct {
	scope   uint64
	answer  *[]byte // Nil if no answer is kept.
	attempt uint16
	status  int16
	state   state
	number  uint8
}

func clampAttempt(n int) uint16 { return uint16(min(max(n, 0), math.MaxUint16)) }

// decide returns the decision on a repeated attempt. settled is false if the key
// may run again.
func (rec record) decide(a Attempt) (d Decision, settled bool) {
	if rec.scope != a.Scope {
		// The key was used by another customer or with other content. The
		// answer is unknown because "not run" would make the caller resend.
		return Decision{Kind: MayHaveRun, Reason: dogwoodford.ReasonBadRequest}, true
	}
	switch rec.state {
	case inProgress:
		return Decision{Kind: InProgress, Reason: dogwoodford.ReasonDuplicate}, true
	case ran:
		if rec.answer == nil {
			return Decision{Kind: RanBefore, Reason: dogwoodford.ReasonDuplicate, Status: int(rec.status)}, true
		}
		return Decision{Kind: Replay, Status: int(rec.status), Body: *rec.answer}, true
	case notRun:
		if clampAttempt(a.Attempt) > rec.attempt {
			return Decision{}, false
		}
		return Decision{Kind: DidNotRun, Reason: dogwoodford.ReasonDuplicate}, true
	default:
		return Decision{Kind: MayHaveRun, Reason: dogwoodford.ReasonLost}, true
	}
}

// replacedBy reports whether an imported record replaces rec: rec is not run and
// the imported record is of the same or a later attempt, or rec is unknown and the
// imported record has run.
func (rec record) replacedBy(in *Record) bool {
	switch rec.state {
	case notRun:
		return clampAttempt(in.Attempt) >= rec.attempt
	case unknown:
		return !in.InProgress && in.Outcome == dogwoodford.OutcomeRan
	default:
		return false
	}
}

func (rec record) export(k dogwoodford.Key) Record {
	out := Record{Key: k, Scope: rec.scope, Attempt: int(rec.attempt), Status: int(rec.status)}
	switch rec.state {
	case inProgress:
		out.InProgress = true
	case ran:
		out.Outcome = dogwoodford.OutcomeRan
	case notRun:
		out.Outcome = dogwoodford.OutcomeNotRun
	}
	if rec.answer != nil {
		out.Answer = *rec.answer
	}
	return out
}

// fence limits which keys Begin admits in one range.
type fence struct {
	closed int64 // Keys of epochs up to this one are refused.
	newest int64 // Newest issue time of a key that was begun.
	caps   []epochCap
}

// epochCap excludes the keys of an epoch that are issued at or after a time. A
// range that soon returns to an owner has caps for several epochs at once, because
// requests that used an older table may not have reached Begin yet.
type epochCap struct{ epoch, at int64 }

// maxCaps bounds the caps of a range; beyond it the oldest epoch is closed.
const maxCaps = 8

func (f *fence) admits(epoch, issued int64) bool {
	for _, c := range f.caps {
		if c.epoch == epoch && issued >= c.at {
			return false
		}
	}
	return epoch > f.closed
}

func (f *fence) setCap(epoch, at int64) {
	f.liftCap(epoch)
	f.caps = append(f.caps, epochCap{epoch, at})
	if len(f.caps) > maxCaps {
		oldest := slices.MinFunc(f.caps, func(a, b epochCap) int { return cmp.Compare(a.epoch, b.epoch) })
		f.close(oldest.epoch)
	}
}

func (f *fence) liftCap(epoch int64) {
	f.caps = slices.DeleteFunc(f.caps, func(c epochCap) bool { return c.epoch == epoch })
}

func (f *fence) close(epoch int64) {
	f.closed = max(f.closed, epoch)
	f.caps = slices.DeleteFunc(f.caps, func(c epochCap) bool { return c.epoch <= epoch })
}

type bucket map[dogwoodford.Key]record

type shard struct {
	mu              sync.Mutex
	buckets         map[int64]bucket // By issue time divided by bucketMs.
	horizon         int64            // Keys issued before this time are refused; it never decreases.
	fences          [dogwoodford.KeyRanges]fence
	order           []dogwoodford.Key // Keys with answers, oldest answer first.
	answerBytes     int64
	inProgressCount int
	_               [64]byte // Keeps the locks of adjacent shards on separate cache lines.
}

func (r *Records) shard(k dogwoodford.Key) *shard {
	return &r.shards[maphash.Comparable(r.seed, k)&uint64(len(r.shards)-1)]
}

func (s *shard) get(k dogwoodford.Key) (record, bool) {
	rec, ok := s.buckets[k.Issued().UnixMilli()/bucketMs][k]
	return rec, ok
}

func (s *shard) put(k dogwoodford.Key, rec record) {
	i := k.Issued().UnixMilli() / bucketMs
	b := s.buckets[i]
	if b == nil {
		b = make(bucket)
		s.buckets[i] = b
	}
	b[k] = rec
}

// remove deletes the record of a key in progress and reports whether there was
// one.
func (s *shard) remove(k dogwoodford.Key) bool {
	b := s.buckets[k.Issued().UnixMilli()/bucketMs]
	if _, ok := b[k]; !ok {
		return false
	}
	delete(b, k)
	s.inProgressCount--
	return true
}

// raiseHorizon raises the horizon to the start of the bucket that contains h and
// returns the number of records that expired. The horizon is always the start of a
// bucket, so that every key at or above it still has its record.
func (s *shard) raiseHorizon(h int64) int64 {
	h -= h % bucketMs
	if h <= s.horizon {
		return 0
	}
	s.horizon = h
	var expired int64
	for i, b := range s.buckets {
		if i*bucketMs >= h {
			continue
		}
		expired += int64(len(b))
		for _, rec := range b {
			if rec.answer != nil {
				s.answerBytes -= answerCost(*rec.answer)
			}
			if rec.state == inProgress {
				s.inProgressCount--
			}
		}
		delete(s.buckets, i)
	}
	for len(s.order) > 0 && s.order[0].Issued().UnixMilli() < h {
		s.order = s.order[1:]
	}
	return expired
}

// dropAnswers drops the oldest answers until at most limit bytes are kept.
func (s *shard) dropAnswers(limit int64) {
	for s.answerBytes > limit && len(s.order) > 0 {
		k := s.order[0]
		s.order = s.order[1:]
		if rec, ok := s.get(k); ok && rec.answer != nil {
			s.answerBytes -= answerCost(*rec.answer)
			rec.answer = nil
			s.put(k, rec)
		}
	}
}

func (r *Records) lockAll() {
	for i := range r.shards {
		r.shards[i].mu.Lock()
	}
}

func (r *Records) unlockAll() {
	for i := range r.shards {
		r.shards[i].mu.Unlock()
	}
}

// each calls visit for the records of a range whose keys were issued in
// [start, end). It locks one shard at a time.
func (r *Records) each(number int, start, end int64, visit func(dogwoodford.Key, record)) {
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for at, b := range s.buckets {
			if (at+1)*bucketMs <= start || at*bucketMs >= end {
				continue
			}
			for k, rec := range b {
				if t := k.Issued().UnixMilli(); int(rec.number) == number && start <= t && t < end {
					visit(k, rec)
				}
			}
		}
		s.mu.Unlock()
	}
}
