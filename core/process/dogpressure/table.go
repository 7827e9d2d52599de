package dogpressure

import (
	"math/rand/v2"
	"time"

	"dogwoodford"
)

// Defaults of the options, from docs/design.md, 5.3.
const (
	DefaultExpiry  = 2 * time.Second
	DefaultProbeIn = 64
)

// Options are the settings of a Table. Zero fields take the defaults.
type Options struct {
	Expiry  time.Duration // Age at which a report no longer counts.
	ProbeIn int           // One in this many requests below the cutoff passes.
	Rand    *rand.Rand    // Chooses the probes and the jitter; required.
}

// Report is what a guard reports with an answer.
type Report struct {
	Own   dogwoodford.Priority // Cutoff of the answering target.
	Below dogwoodford.Priority // Highest cutoff of the services that the class calls beneath it.
}

// Table holds the reports that one node received.
type Table struct {
	opts Options
}

// New returns an empty table. It panics if Rand is nil.
func New(o Options) *Table {
	if o.Rand == nil {
		panic("dogpressure: Options need Rand")
	}
	return &Table{opts: o}
}

// Reported records the report of an answer to r by a node of r.Service().
func (t *Table) Reported(_ time.Time, _ dogwoodford.Request, _ string, _ Report) {}

// Admit decides whether to dispatch r. It returns Run, or Refuse with the
// reason overload and a hint when to come back.
func (t *Table) Admit(_ time.Time, _ dogwoodford.Request) dogwoodford.Verdict {
	return dogwoodford.RunVerdict()
}

// Cutoff returns the lowest priority of the class of r that some target of
// r.Service() admits, as far as fresh reports say.
func (t *Table) Cutoff(_ time.Time, _ dogwoodford.Request) dogwoodford.Priority { return 0 }

// Upstream returns the report that a guard sends with its answer to r. own is
// the cutoff of its own target.
func (t *Table) Upstream(_ time.Time, _ dogwoodford.Request, own dogwoodford.Priority) Report {
	return Report{Own: own}
}
