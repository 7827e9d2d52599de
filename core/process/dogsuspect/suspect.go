package dogsuspect

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"dogwoodford/core/process/dogmember"
)

// Kind is the kind of a Report.
type Kind int

const (
	// Death means that the digests were in progress when a target died.
	Death Kind = iota
	// Cleared means that the digests completed after the deaths up to the time of
	// the report.
	Cleared
	// Released means that an operator released the digests.
	Released
)

// MaxDigests is the largest number of digests in one report. Further digests in
// progress at a death are left out.
const MaxDigests = 256

// Report is a node's report of a death, or of the clearance or release of digests.
// Updates carry it by value.
type Report struct {
	Kind    Kind
	Digests []uint64 // Sorted, without zero and duplicates.
	Service string
	At      time.Time // Time of the death, or up to which deaths are cancelled. Whole milliseconds.
	Death   string    // Unique name of the death, so that it counts once; only for Death.
}

// ReportUpdate returns the update that carries r.
func ReportUpdate(r Report) dogmember.Update {
	key := "suspect/" + r.Death
	if r.Kind != Death {
		key = fmt.Sprintf("suspect/%d/%x", r.Kind, r.Digests)
	}
	return dogmember.Update{Key: key, Value: r}
}

// Options configure Suspects. Zero values take the defaults given at the end of the
// comments.
type Options struct {
	Quarantine    time.Duration // Duration of a suspicion or quarantine after the last death; 15 min.
	Retain        time.Duration // Time for which deaths, clearances and releases are kept; 30 min.
	MaxDeaths     int           // Number of latest deaths kept; 512.
	MaxClearances int           // Number of latest clearances and releases kept; 4,096.
}

// maxSkew is how far in the future a report may be, as clocks differ.
const maxSkew = time.Minute

// death is one death of a target.
type death struct {
	id      string
	at      time.Time
	service string
	digests []uint64
}

// Suspects holds what one node knows about suspects. It is not safe for concurrent
// use.
type Suspects struct {
	opt        Options
	deaths     map[string]*death
	clearances map[uint64]Report // Latest clearance or release by digest.
	view       *View
	acts       []Action
}

// New returns Suspects without reports.
func New(opt Options) *Suspects {
	if opt.Quarantine == 0 {
		opt.Quarantine = 15 * time.Minute
	}
	if opt.Retain == 0 {
		opt.Retain = 30 * time.Minute
	}
	if opt.MaxDeaths == 0 {
		opt.MaxDeaths = 512
	}
	if opt.MaxClearances == 0 {
		opt.MaxClearances = 4096
	}
	return &Suspects{
		opt:        opt,
		deaths:     map[string]*death{},
		clearances: map[uint64]Report{},
		view:       &View{},
	}
}

// OnEvent applies an event and returns the actions that the driver must take.
func (s *Suspects) OnEvent(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case Tick:
		if s.expire(now) {
			s.rebuild(now)
		}
	case TargetDied:
		s.onDied(now, ev)
	case ReportArrived:
		if s.merge(now, ev.Report) {
			s.act(PublishReport(ev))
			s.rebuild(now)
		}
	case Completed:
		if e := s.view.Lookup(now, ev.Digest); e.Standing == Suspected {
			s.clearDeaths(now, Cleared, e)
		}
	case Release:
		if e := s.view.Lookup(now, ev.Digest); e.Standing != Clean {
			s.clearDeaths(now, Released, e)
		}
	}
	acts := s.acts
	s.acts = nil
	return acts
}

func (s *Suspects) act(a Action) { s.acts = append(s.acts, a) }

func (s *Suspects) onDied(now time.Time, ev TargetDied) {
	digests := normalise(ev.Digests)
	if len(digests) == 0 {
		return
	}
	r := Report{
		Kind:    Death,
		Digests: digests,
		Service: ev.Service,
		At:      now.Truncate(time.Millisecond),
		Death:   ev.ID,
	}
	if s.merge(now, r) {
		s.act(PublishReport{Report: r})
		s.rebuild(now)
	}
}

// normalise returns the digests sorted, without zero and duplicates, at most
// MaxDigests of them.
func normalise(digests []uint64) []uint64 {
	out := slices.Clone(digests)
	slices.Sort(out)
	out = slices.Compact(out)
	if len(out) > 0 && out[0] == 0 {
		out = out[1:]
	}
	return out[:min(len(out), MaxDigests)]
}

// clearDeaths cancels the known deaths of a digest by a clearance or release. Its
// time is that of the last known death rather than now, so that a death whose
// report has not arrived yet still counts.
func (s *Suspects) clearDeaths(now time.Time, k Kind, e Entry) {
	r := Report{Kind: k, Digests: []uint64{e.Digest}, Service: e.Service, At: e.Last}
	if s.merge(now, r) {
		s.act(PublishReport{Report: r})
		s.rebuild(now)
	}
}

// merge adds a report and reports whether it was new.
func (s *Suspects) merge(now time.Time, r Report) bool {
	if r.At.After(now.Add(maxSkew)) || now.Sub(r.At) >= s.opt.Retain {
		return false
	}
	r.Digests = normalise(r.Digests)
	if len(r.Digests) == 0 {
		return false
	}
	if r.Kind == Death {
		if r.Death == "" || s.deaths[r.Death] != nil {
			return false
		}
		s.deaths[r.Death] = &death{id: r.Death, at: r.At, service: r.Service, digests: r.Digests}
		s.trimDeaths()
		return s.deaths[r.Death] != nil
	}
	changed := false
	for _, d := range r.Digests {
		if old, ok := s.clearances[d]; ok && !old.At.Before(r.At) {
			continue
		}
		one := r
		one.Digests = []uint64{d}
		s.clearances[d] = one
		changed = true
	}
	s.trimClearances()
	return changed
}

// trimDeaths drops the oldest death if there are more than MaxDeaths.
func (s *Suspects) trimDeaths() {
	if len(s.deaths) <= s.opt.MaxDeaths {
		return
	}
	sorted := s.sortedDeaths()
	delete(s.deaths, sorted[0].id)
}

func (s *Suspects) trimClearances() {
	for len(s.clearances) > s.opt.MaxClearances {
		var oldest uint64
		for d, r := range s.clearances {
			if o := s.clearances[oldest]; oldest == 0 || r.At.Before(o.At) || r.At.Equal(o.At) && d < oldest {
				oldest = d
			}
		}
		delete(s.clearances, oldest)
	}
}

// sortedDeaths returns the deaths sorted by time, then by name.
func (s *Suspects) sortedDeaths() []*death {
	out := make([]*death, 0, len(s.deaths))
	for _, d := range s.deaths {
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b *death) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}
		return strings.Compare(a.id, b.id)
	})
	return out
}

// expire drops reports older than Options.Retain and reports whether an entry of
// the view has ended.
func (s *Suspects) expire(now time.Time) bool {
	for id, d := range s.deaths {
		if now.Sub(d.at) >= s.opt.Retain {
			delete(s.deaths, id)
		}
	}
	for d, r := range s.clearances {
		if now.Sub(r.At) >= s.opt.Retain {
			delete(s.clearances, d)
		}
	}
	for _, e := range s.view.entries {
		if !now.Before(e.Until) {
			return true
		}
	}
	return false
}

// counts reports whether a death still counts for a digest.
func (s *Suspects) counts(d *death, digest uint64) bool {
	r, ok := s.clearances[digest]
	return !ok || d.at.After(r.At)
}

// rebuild computes a new view from the reports, and reports the quarantines that
// it adds.
func (s *Suspects) rebuild(now time.Time) {
	old := s.view
	next := &View{entries: map[uint64]Entry{}}
	for _, d := range s.sortedDeaths() {
		if now.Sub(d.at) < s.opt.Retain {
			s.addDeath(next.entries, d)
		}
	}
	for digest, e := range next.entries {
		if !now.Before(e.Until) {
			delete(next.entries, digest)
		}
	}
	s.view = next
	s.act(Changed{})
	for _, e := range next.Entries() {
		if e.Standing == Quarantined && old.entries[e.Digest].Standing != Quarantined {
			s.act(QuarantineBegun{Entry: e})
		}
	}
}

// addDeath adds a death to the entries made from the earlier ones. A digest
// that was the only suspect in progress is quarantined.
func (s *Suspects) addDeath(entries map[uint64]Entry, d *death) {
	var suspects []uint64
	for _, digest := range d.digests {
		if !d.at.Before(entries[digest].Until) {
			// The suspicion had ended before this death, so the earlier deaths
			// no longer count.
			delete(entries, digest)
		}
		if entries[digest].Deaths > 0 && s.counts(d, digest) {
			suspects = append(suspects, digest)
		}
	}
	for _, digest := range d.digests {
		if !s.counts(d, digest) {
			continue
		}
		e := entries[digest]
		e.Digest, e.Service = digest, d.service
		e.Deaths++
		e.Last, e.Until = d.at, d.at.Add(s.opt.Quarantine)
		if len(suspects) == 1 && suspects[0] == digest {
			e.Standing = Quarantined
		} else if e.Standing == Clean {
			e.Standing = Suspected
		}
		entries[digest] = e
	}
}

// View returns the current suspects and quarantines.
func (s *Suspects) View() *View { return s.view }

// Reports returns all reports that are kept, to answer a Pull of the whole state.
func (s *Suspects) Reports() []Report {
	var out []Report
	for _, d := range s.sortedDeaths() {
		out = append(out, Report{Kind: Death, Digests: d.digests, Service: d.service, At: d.at, Death: d.id})
	}
	var digests []uint64
	for d := range s.clearances {
		digests = append(digests, d)
	}
	slices.Sort(digests)
	for _, d := range digests {
		out = append(out, s.clearances[d])
	}
	return out
}
