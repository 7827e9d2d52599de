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

// callMemory is the time for which a class counts as calling a service after
// its last call. It exceeds the expiry of reports, so that a report is not
// dropped because early refusals keep the class from calling.
const callMemory = 10 * time.Second

// Options are the settings of a Table. Zero fields take the defaults.
type Options struct {
	Expiry  time.Duration // Age at which a report no longer counts.
	ProbeIn int           // One in this many requests below the cutoff passes.
	Rand    *rand.Rand    // Chooses the probes and the jitter; required.
	// Mean takes the mean of the cutoffs of a service's nodes in place of the
	// lowest. It fits guards that let calls wait: requests are then spread over
	// all nodes, and what all of them together can run decides.
	Mean bool
	// Refresh is the time for which a cutoff that was worked out from the
	// reports holds; 0 works it out for each request, which takes time in
	// proportion to the nodes of the service.
	Refresh time.Duration
	// RetryByShare makes hints when to come back follow from the share of the
	// class that is refused. Without it they are 1 to 2 s.
	RetryByShare bool
}

// Report is what a guard reports with an answer.
type Report struct {
	Own   dogwoodford.Priority // Cutoff of the answering target.
	Below dogwoodford.Priority // Highest cutoff of the services that the class calls beneath it.
}

// class names a root class of one customer at one depth of the call tree. With
// the depth, what a node learns about calls at depth n depends on depths above
// n only. Without it, a node that is an entry for a class and also serves it
// further down hears its own report back, and a cutoff never ends.
type class struct {
	customer, name string
	hop            int
}

// known is what one node of a service reported.
type known struct {
	own   dogwoodford.Priority
	at    time.Time
	below map[class]below
}

type below struct {
	cutoff dogwoodford.Priority
	at     time.Time
}

// Table holds the reports that one node received.
type Table struct {
	opts     Options
	services map[string]map[string]*known   // By service and node.
	calls    map[class]map[string]time.Time // Last call of a class by service.
	cutoffs  map[demand]cutoff
	shares   map[demand]*share
}

// demand is what a cutoff applies to.
type demand struct {
	service string
	class   class
}

type cutoff struct {
	value dogwoodford.Priority
	until time.Time
}

// New returns an empty table. It panics if Rand is nil.
func New(o Options) *Table {
	if o.Rand == nil {
		panic("dogpressure: Options need Rand")
	}
	if o.Expiry == 0 {
		o.Expiry = DefaultExpiry
	}
	if o.ProbeIn == 0 {
		o.ProbeIn = DefaultProbeIn
	}
	return &Table{
		opts:     o,
		services: make(map[string]map[string]*known),
		calls:    make(map[class]map[string]time.Time),
		cutoffs:  make(map[demand]cutoff),
		shares:   make(map[demand]*share),
	}
}

// Reported records the report of an answer to r by a node of r.Service(). The
// class of r must be its root class.
func (t *Table) Reported(now time.Time, r dogwoodford.Request, node string, rep Report) {
	nodes := t.services[r.Service()]
	if nodes == nil {
		nodes = make(map[string]*known)
		t.services[r.Service()] = nodes
	}
	k := nodes[node]
	if k == nil {
		t.dropExpired(now, nodes)
		k = &known{below: make(map[class]below)}
		nodes[node] = k
	}
	k.own, k.at = rep.Own, now
	c := classOf(r)
	if rep.Below > 0 {
		k.below[c] = below{cutoff: rep.Below, at: now}
	} else {
		delete(k.below, c)
	}
}

// Admit decides whether to dispatch r. It returns Run, or Refuse with the
// reason overload and a hint when to come back.
func (t *Table) Admit(now time.Time, r dogwoodford.Request) dogwoodford.Verdict {
	c := classOf(r)
	calls := t.calls[c]
	if calls == nil {
		calls = make(map[string]time.Time)
		t.calls[c] = calls
	}
	calls[r.Service()] = now
	admitted := r.Priority() >= t.cutoff(now, r.Service(), c) || t.opts.Rand.IntN(t.opts.ProbeIn) == 0
	s := t.record(now, demand{service: r.Service(), class: c}, !admitted)
	if admitted {
		return dogwoodford.RunVerdict()
	}
	return dogwoodford.RefuseVerdict(dogwoodford.ReasonOverload, t.retryAfter(s))
}

// record counts a request for the hint to the next one that is refused.
func (t *Table) record(now time.Time, d demand, refused bool) *share {
	s := t.shares[d]
	if s == nil {
		if len(t.shares) >= maxCutoffs {
			clear(t.shares)
		}
		s = &share{at: now}
		t.shares[d] = s
	}
	s.record(now, refused)
	return s
}

// retryAfter returns the hint to a request that is refused.
func (t *Table) retryAfter(s *share) time.Duration {
	if !t.opts.RetryByShare {
		return time.Second + time.Duration(t.opts.Rand.Int64N(int64(time.Second)))
	}
	// Half of the hint is left to chance, so that callers that were refused
	// together do not come back together.
	wait := s.retryAfter()
	return wait/2 + time.Duration(t.opts.Rand.Int64N(int64(wait)))
}

// Cutoff returns the lowest priority of the class of r that some target of
// r.Service() admits, as far as fresh reports say.
func (t *Table) Cutoff(now time.Time, r dogwoodford.Request) dogwoodford.Priority {
	return t.cutoff(now, r.Service(), classOf(r))
}

// Upstream returns the report that a guard sends with its answer to r. own is
// the cutoff of its own target.
func (t *Table) Upstream(now time.Time, r dogwoodford.Request, own dogwoodford.Priority) Report {
	c := classOf(r)
	c.hop++
	rep := Report{Own: own}
	for service, at := range t.calls[c] {
		if now.Sub(at) >= callMemory {
			delete(t.calls[c], service)
			continue
		}
		rep.Below = max(rep.Below, t.cutoff(now, service, c))
	}
	return rep
}

// maxCutoffs bounds the cutoffs that are kept; customers name classes.
const maxCutoffs = 1024

// cutoff returns what the reports of the service's nodes demand of class c, at
// most the refresh time ago.
func (t *Table) cutoff(now time.Time, service string, c class) dogwoodford.Priority {
	if t.opts.Refresh <= 0 {
		return t.combine(now, service, c)
	}
	d := demand{service: service, class: c}
	if known, ok := t.cutoffs[d]; ok && now.Before(known.until) {
		return known.value
	}
	if len(t.cutoffs) >= maxCutoffs {
		clear(t.cutoffs)
	}
	value := t.combine(now, service, c)
	t.cutoffs[d] = cutoff{value: value, until: now.Add(t.opts.Refresh)}
	return value
}

// combine returns the lowest of what the fresh reports of the service's nodes
// demand of class c, as a request is hopeless only if no target admits it, or
// their mean.
func (t *Table) combine(now time.Time, service string, c class) dogwoodford.Priority {
	least, found := dogwoodford.Priority(0), false
	sum, n := dogwoodford.Priority(0), dogwoodford.Priority(0)
	for _, k := range t.services[service] {
		if now.Sub(k.at) >= t.opts.Expiry {
			continue
		}
		p := k.own
		if b, ok := k.below[c]; ok && now.Sub(b.at) < t.opts.Expiry {
			p = max(p, b.cutoff)
		}
		if !found || p < least {
			least, found = p, true
		}
		sum, n = sum+p, n+1
	}
	if t.opts.Mean && n > 0 {
		return sum / n
	}
	return least
}

// dropExpired bounds the table by the nodes present.
func (t *Table) dropExpired(now time.Time, nodes map[string]*known) {
	for name, k := range nodes {
		if now.Sub(k.at) >= t.opts.Expiry {
			delete(nodes, name)
		}
	}
}

func classOf(r dogwoodford.Request) class { return class{r.Customer(), r.Class(), r.Hop()} }
