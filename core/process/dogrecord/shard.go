package dogrecord

import (
	"cmp"
	"hash/maphash"
	"math"
	"slices"
	"sync"

	"dogwoodford"
)

// bucketMs is the span of issue times that expire together. Records leave by
// whole maps, which costs nothing per record; 16 s of a retention of 600 s
// keeps at most 3% longer than needed.
const bucketMs = 16 << 10

// answerOverhead is what an answer costs beyond its bytes: the slice header,
// its place in the order and the rounding of the allocator.
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
	case dogwoodford.Ran:
		return ran
	case dogwoodford.NotRun:
		return notRun
	default:
		return unknown
	}
}

// record is kept small: there is one per key of the last ten minutes.
type record struct {
	scope   uint64
	answer  *[]byte // Nil if no answer is kept.
	attempt uint16
	status  int16
	state   state
	number  uint8
}

func clampAttempt(n int) uint16 { return uint16(min(max(n, 0), math.MaxUint16)) }

// decide answers an attempt from the record; settled is false if the key may
// run again.
func (rec record) decide(a Attempt) (d Decision, settled bool) {
	if rec.scope != a.Scope {
		// Another customer or other content under the same key. Unknown, as
		// "not run" would invite the caller to send its content once more.
		return Decision{Answer: Unknown, Reason: dogwoodford.ReasonBadRequest}, true
	}
	switch rec.state {
	case inProgress:
		return Decision{Answer: InProgress, Reason: dogwoodford.ReasonDuplicate}, true
	case ran:
		if rec.answer == nil {
			return Decision{Answer: RanBefore, Reason: dogwoodford.ReasonDuplicate, Status: int(rec.status)}, true
		}
		return Decision{Answer: Replay, Status: int(rec.status), Body: *rec.answer}, true
	case notRun:
		if clampAttempt(a.Attempt) > rec.attempt {
			return Decision{}, false
		}
		return Decision{Answer: NotRun, Reason: dogwoodford.ReasonDuplicate}, true
	default:
		return Decision{Answer: Unknown, Reason: dogwoodford.ReasonLost}, true
	}
}

// yields reports whether an imported record replaces rec: it knows of a later
// attempt, or of an outcome that is unknown here.
func (rec record) yields(in *Record) bool {
	switch rec.state {
	case notRun:
		return clampAttempt(in.Attempt) >= rec.attempt
	case unknown:
		return !in.InProgress && in.Outcome == dogwoodford.Ran
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
		out.Outcome = dogwoodford.Ran
	case notRun:
		out.Outcome = dogwoodford.NotRun
	}
	if rec.answer != nil {
		out.Answer = *rec.answer
	}
	return out
}

// fence bounds what Begin admits in one range.
type fence struct {
	closed int64 // Epochs up to this one begin nothing.
	newest int64 // Newest issue time that was begun.
	caps   []epochCap
}

// epochCap bars the keys of an epoch issued at or after a time. A range that
// comes back to its owner soon has caps of several epochs at once, as requests
// with an older table may still be on their way to Begin.
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
	mu      sync.Mutex
	buckets map[int64]bucket // By issue time over bucketMs.
	horizon int64            // Keys issued before it are refused; never falls.
	fences  [dogwoodford.KeyRanges]fence
	order   []dogwoodford.Key // Keys with answers, oldest answer first.
	answers int64
	busy    int
	_       [64]byte // Keeps the locks of neighbours on separate cache lines.
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

// remove forgets a key in progress and reports whether it was there.
func (s *shard) remove(k dogwoodford.Key) bool {
	b := s.buckets[k.Issued().UnixMilli()/bucketMs]
	if _, ok := b[k]; !ok {
		return false
	}
	delete(b, k)
	s.busy--
	return true
}

// raise moves the horizon up to the bucket that holds h and returns how many
// records it forgot. The horizon falls on a bucket's start, so that every key
// at or above it still has its record.
func (s *shard) raise(h int64) int64 {
	h -= h % bucketMs
	if h <= s.horizon {
		return 0
	}
	s.horizon = h
	var gone int64
	for i, b := range s.buckets {
		if i*bucketMs >= h {
			continue
		}
		gone += int64(len(b))
		for _, rec := range b {
			if rec.answer != nil {
				s.answers -= answerCost(*rec.answer)
			}
			if rec.state == inProgress {
				s.busy--
			}
		}
		delete(s.buckets, i)
	}
	for len(s.order) > 0 && s.order[0].Issued().UnixMilli() < h {
		s.order = s.order[1:]
	}
	return gone
}

// dropAnswers drops the oldest answers until at most limit bytes are kept.
func (s *shard) dropAnswers(limit int64) {
	for s.answers > limit && len(s.order) > 0 {
		k := s.order[0]
		s.order = s.order[1:]
		if rec, ok := s.get(k); ok && rec.answer != nil {
			s.answers -= answerCost(*rec.answer)
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

// each visits the records of a range for keys issued in [start, end), one
// shard at a time.
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
