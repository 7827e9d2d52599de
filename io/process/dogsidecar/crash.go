package dogsidecar

import (
	"fmt"
	"log/slog"
	"slices"
	"time"

	"dogwoodford/core/process/dogcrash"
	"dogwoodford/core/process/dogfleet"
	"dogwoodford/io/process/doglog"
)

// maxCrashes is the largest number of reports in the entry of a node. A few of
// them suffice to quarantine a content.
const maxCrashes = 8

// crashes tracks requests that crash targets.
type crashes struct {
	detector   *dogcrash.Detector
	ownReports []dogcrash.Report // Latest crashes of the node's target, for its entry.
}

// DispatchStarted implements dogrelay.Crashes.
func (s *state) DispatchStarted(id string, c dogcrash.Content) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes.detector.Start(time.Now(), id, c)
}

// DispatchEnded implements dogrelay.Crashes.
func (s *state) DispatchEnded(id string, unanswered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes.detector.End(time.Now(), id, unanswered)
}

// RecordCompletion implements dogrelay.Crashes.
func (s *state) RecordCompletion(c dogcrash.Content) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.publish(s.crashes.detector.RecordCompletion(c))
}

// TestQuarantined implements dogrelay.Crashes.
func (s *state) TestQuarantined(c dogcrash.Content) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	tester, ok := s.tester(now, c, s.settings.Service)
	return ok && s.crashes.detector.Test(now, c, tester)
}

// QuarantineTester implements dogrelay.Crashes.
func (s *state) QuarantineTester(c dogcrash.Content, service string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	tester, ok := s.tester(now, c, service)
	return tester, ok && s.crashes.detector.Ask(now, c)
}

// tester returns the node that is to test a content at its target, which belongs to
// service. If the one that the content's crashes determine is not in use, it is the first
// by name. The caller must hold s.mu.
func (s *state) tester(now time.Time, c dogcrash.Content, service string) (string, bool) {
	tester, ok := s.crashes.detector.Tester(now, c)
	if !ok {
		return "", false
	}
	first := ""
	for _, t := range s.fleet.Targets(now) {
		if t.Service != service {
			continue
		}
		if t.Node == tester {
			return tester, true
		}
		if first == "" || t.Node < first {
			first = t.Node
		}
	}
	return first, first != ""
}

// HasCompleted implements dogrelay.Crashes.
func (s *state) HasCompleted(c dogcrash.Content) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes.detector.HasCompleted(c)
}

// QuarantineRemaining implements dogrelay.Crashes.
func (s *state) QuarantineRemaining(c dogcrash.Content) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes.detector.QuarantineRemaining(time.Now(), c)
}

// targetCrashed records a crash of the node's target and reports the contents
// that were in progress there. The caller must hold s.mu.
func (s *state) targetCrashed() {
	c := s.crashes.detector.RecordCrash(time.Now())
	s.log.event(doglog.TargetDied, slog.Int("in_progress", c.InProgress), slog.Int("completed", c.Completed),
		slog.Int("left_out", c.LeftOut))
	for _, r := range c.Reports {
		s.log.event(doglog.SuspectReported, slog.String("death", r.ID), slog.Bool("shared", r.Shared),
			slog.Any("digests", formatDigests(r.Digests)), slog.Any("doubtful", formatDigests(r.Doubtful)))
		s.recordCrash(r)
	}
	s.publish(c.Reports)
}

// adoptReports keeps the reports of earlier processes of this node, which its
// entry still holds. The caller must hold s.mu.
func (s *state) adoptReports(e dogfleet.Entry) {
	if e.Node != s.settings.Node || len(e.Crashes) > maxCrashes {
		return
	}
	var earlier []dogcrash.Report
	for _, r := range e.Crashes {
		isOwn := func(x dogcrash.Report) bool { return x.ID == r.ID }
		if r.Bounded() && !slices.ContainsFunc(s.crashes.ownReports, isOwn) {
			earlier = append(earlier, r)
		}
	}
	s.keepReports(append(earlier, s.crashes.ownReports...))
}

// keepReports replaces the reports of this node by the latest of reports.
func (s *state) keepReports(reports []dogcrash.Report) {
	s.crashes.ownReports = slices.Clone(reports[max(0, len(reports)-maxCrashes):])
}

// publish tells the other nodes reports of this node: at once, and through its entry
// for those that do not answer or start later. The caller must hold s.mu.
func (s *state) publish(reports []dogcrash.Report) {
	if len(reports) == 0 {
		return
	}
	select {
	case s.reports <- reports:
	default: // The nodes read them in the entry.
		s.log.event(doglog.CrashReportFailed, slog.String("problem", "too many reports are waiting"))
	}
	s.keepReports(append(s.crashes.ownReports, reports...))
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

// receiveReports records reports that another node sent directly.
func (s *state) receiveReports(reports []dogcrash.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordCrashes(dogfleet.Entry{Crashes: reports})
}

// recordCrash records a crash and logs the digest that it quarantines, if any.
// The caller must hold s.mu.
func (s *state) recordCrash(r dogcrash.Report) {
	if s.crashes.detector.Knows(r) {
		return
	}
	s.logQuarantined(s.crashes.detector.AddReport(time.Now(), r), r.ID)
	for _, d := range r.Cleared {
		s.log.event(doglog.DigestReleased, slog.String("digest", formatDigest(d)), slog.String("report", r.ID))
	}
}

// settleSuspects decides on contents that were suspected together with others.
// The caller must hold s.mu.
func (s *state) settleSuspects() {
	for _, d := range s.crashes.detector.Settle(time.Now()) {
		s.logQuarantined(d, "")
	}
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
