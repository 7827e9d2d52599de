package dogsidecar

import (
	"fmt"
	"log/slog"
	"time"

	"dogwoodford/core/process/dogcrash"
	"dogwoodford/core/process/dogfleet"
	"dogwoodford/io/process/doglog"
)

// maxCrashes is the largest number of crashes in the entry of a node. A few of
// them suffice to quarantine a content.
const maxCrashes = 8

// crashes tracks requests that crash targets.
type crashes struct {
	guard      *dogcrash.Guard
	table      *dogcrash.Table
	ownReports []dogcrash.Report // Latest crashes of the node's target, for its entry.
}

// DispatchStarted implements dogrelay.Crashes.
func (s *state) DispatchStarted(id string, digest uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes.guard.Start(time.Now(), id, digest)
}

// DispatchEnded implements dogrelay.Crashes.
func (s *state) DispatchEnded(id string, unanswered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes.guard.End(time.Now(), id, unanswered)
}

// RecordCompletion implements dogrelay.Crashes.
func (s *state) RecordCompletion(digest uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes.table.RecordCompletion(digest)
}

// HasCompleted implements dogrelay.Crashes.
func (s *state) HasCompleted(digest uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes.table.HasCompleted(digest)
}

// QuarantineRemaining implements dogrelay.Crashes.
func (s *state) QuarantineRemaining(digest uint64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes.table.QuarantineRemaining(time.Now(), digest)
}

// targetCrashed records a crash of the node's target and reports the contents
// that were in progress there. The caller must hold s.mu.
func (s *state) targetCrashed() {
	r, ok := s.crashes.guard.RecordCrash(time.Now())
	inProgress := len(r.Digests)
	r = s.crashes.table.Split(r)
	completed := len(r.Doubtful)
	r = r.Newest()
	s.log.event(doglog.TargetDied, slog.Int("in_progress", inProgress), slog.Int("completed", completed),
		slog.Int("left_out", inProgress-len(r.Digests)-len(r.Doubtful)))
	if !ok || r.Empty() {
		return
	}
	s.log.event(doglog.SuspectReported, slog.String("death", r.ID), slog.Any("digests", formatDigests(r.Digests)),
		slog.Any("doubtful", formatDigests(r.Doubtful)))
	s.crashes.ownReports = append(s.crashes.ownReports, r)
	s.crashes.ownReports = s.crashes.ownReports[max(0, len(s.crashes.ownReports)-maxCrashes):]
	s.recordCrash(r)
	s.wakeAnnouncer()
}

// recordCrashes records the crashes in the entry of a node. The caller must
// hold s.mu.
func (s *state) recordCrashes(e dogfleet.Entry) {
	if len(e.Crashes) > maxCrashes {
		return // No node writes so many.
	}
	for _, r := range e.Crashes {
		if r.Bounded() {
			s.recordCrash(r)
		}
	}
}

// recordCrash records a crash and logs the digest that it quarantines, if any.
// The caller must hold s.mu.
func (s *state) recordCrash(r dogcrash.Report) {
	s.logQuarantined(s.crashes.table.AddReport(time.Now(), r), r.ID)
}

// settleSuspects decides on contents that were suspected together with others.
// The caller must hold s.mu.
func (s *state) settleSuspects() {
	s.logQuarantined(s.crashes.table.Settle(time.Now()), "")
}

// logQuarantined logs a digest that was quarantined, unless it is 0. The death is
// empty if the decision followed some time after the report.
func (s *state) logQuarantined(digest uint64, death string) {
	if digest != 0 {
		s.log.event(doglog.DigestQuarantined, slog.String("digest", formatDigest(digest)), slog.String("death", death))
	}
}

// formatDigest returns a digest as it is written in logs.
func formatDigest(d uint64) string { return fmt.Sprintf("%016x", d) }

func formatDigests(digests []uint64) []string {
	out := make([]string, len(digests))
	for i, d := range digests {
		out[i] = formatDigest(d)
	}
	return out
}
