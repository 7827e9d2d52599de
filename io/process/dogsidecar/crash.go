package dogsidecar

import (
	"fmt"
	"log/slog"
	"time"

	"dogwoodford/core/process/dogcrash"
	"dogwoodford/core/process/dogfleet"
	"dogwoodford/io/process/doglog"
)

// maxCrashes is the number of crashes that the entry of a node tells of. A
// content is quarantined after few of them.
const maxCrashes = 8

// crashes is what a node knows of requests that crash targets.
type crashes struct {
	guard *dogcrash.Guard
	table *dogcrash.Table
	own   []dogcrash.Report // Crashes of the own target, for the own entry.
}

// Started implements dogrelay.Crashes.
func (s *state) Started(id string, digest uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes.guard.Start(id, digest)
}

// Ended implements dogrelay.Crashes.
func (s *state) Ended(id string, unanswered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes.guard.End(time.Now(), id, unanswered)
}

// Completed implements dogrelay.Crashes.
func (s *state) Completed(digest uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes.table.Completed(digest)
}

// HasCompleted implements dogrelay.Crashes.
func (s *state) HasCompleted(digest uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes.table.HasCompleted(digest)
}

// Quarantined implements dogrelay.Crashes.
func (s *state) Quarantined(digest uint64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes.table.Quarantined(time.Now(), digest)
}

// targetCrashed reports what was in progress at the own target. It needs s.mu.
func (s *state) targetCrashed() {
	r, ok := s.crashes.guard.Crashed(time.Now())
	s.log.event(doglog.TargetDied, slog.Int("in_progress", len(r.Digests)))
	if r = s.crashes.table.WithoutCompleted(r); !ok || len(r.Digests) == 0 {
		return
	}
	s.log.event(doglog.SuspectReported, slog.String("death", r.ID), slog.Any("digests", digestTexts(r.Digests)))
	s.crashes.own = append(s.crashes.own, r)
	s.crashes.own = s.crashes.own[max(0, len(s.crashes.own)-maxCrashes):]
	s.convict(r)
	s.wake()
}

// heardCrashes takes the crashes that the entry of a node tells of. It needs
// s.mu.
func (s *state) heardCrashes(e dogfleet.Entry) {
	if len(e.Crashes) > maxCrashes {
		return // Not written by a node.
	}
	for _, r := range e.Crashes {
		if len(r.Digests) <= dogcrash.MaxDigests {
			s.convict(r)
		}
	}
}

func (s *state) convict(r dogcrash.Report) {
	if d := s.crashes.table.Report(time.Now(), r); d != 0 {
		s.log.event(doglog.DigestQuarantined, slog.String("digest", digestText(d)), slog.String("death", r.ID))
	}
}

// digestText is the form of a digest in logs.
func digestText(d uint64) string { return fmt.Sprintf("%016x", d) }

func digestTexts(digests []uint64) []string {
	out := make([]string, len(digests))
	for i, d := range digests {
		out[i] = digestText(d)
	}
	return out
}
