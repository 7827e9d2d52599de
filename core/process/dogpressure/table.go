package dogpressure

import (
	"math/rand/v2"
	"time"

	"dogwoodford"
)

// Defaults of Options; see docs/design.md, 5.3.
const (
	DefaultExpiry     = 2 * time.Second
	DefaultProbeEvery = 64
)

// callExpiry is the time after its last call for which a class counts as
// calling a service. It exceeds the expiry of reports, so that a report does
// not lose its effect because early refusals prevent calls of the class.
const callExpiry = 10 * time.Second

// Options configure a Table. Zero fields take the defaults.
type Options struct {
	Expiry     time.Duration // Age at which a report no longer counts.
	ProbeEvery int           // On average, one in this many requests below the cutoff is admitted as a probe.
	Rand       *rand.Rand    // Source of probes and jitter; required.
	// UseMean applies the mean of the cutoffs of a service's nodes instead of
	// the lowest. It suits guards that queue calls rather than refuse them:
	// requests are then spread over all nodes, and their total capacity
	// decides.
	UseMean bool
	// Refresh is the time for which a cutoff that was computed from the reports
	// is cached. If it is 0, the cutoff is computed for each request, in time
	// proportional to the number of nodes of the service.
	Refresh time.Duration
	// RetryByRefusalShare derives Retry-After hints from the share of the
	// requests of the class that is refused. Without it they are 1 to 2 s.
	RetryByRefusalShare bool
}

// Report holds the cutoffs that a guard sends with an answer.
type Report struct {
	Own        dogwoodford.Priority // Cutoff of the answering target.
	Downstream dogwoodford.Priority // Highest cutoff of the services that the class calls beneath it.
}

// class identifies a root class of one customer at one depth of the call tree.
// With the depth, a report on calls at depth n depends on depths greater than n
// only. Without it, a node that is an entry for a class and also serves it
// further down would receive its own report back, and a cutoff would never
// expire.
type class struct {
	customer, name string
	hop            int
}

// nodeReport holds the last report of one node of a service.
type nodeReport struct {
	own        dogwoodford.Priority
	at         time.Time
	downstream map[class]downstream
}

// downstream is the downstream cutoff that a node reported for a class.
type downstream struct {
	cutoff dogwoodford.Priority
	at     time.Time
}

// Table holds the reports that one node has received. It is not safe for
// concurrent use.
type Table struct {
	opts     Options
	services map[string]map[string]*nodeReport // By service and node.
	calls    map[class]map[string]time.Time    // Last call of a class by service.
	cutoffs  map[serviceClass]cutoff
	shares   map[serviceClass]*refusalShare
}

// serviceClass identifies the requests that a cutoff applies to.
type serviceClass struct {
	service string
	class   class
}

// cutoff is a cached cutoff.
type cutoff struct {
	value  dogwoodford.Priority
	expiry time.Time
}

// New returns an empty table. It panics if Rand is nil.
func New(o Options) *Table {
	if o.Rand == nil {
		panic("dogpressure: Options need Rand")
	}
	if o.Expiry == 0 {
		o.Expiry = DefaultExpiry
	}
	if o.ProbeEvery == 0 {
		o.ProbeEvery = DefaultProbeEvery
	}
	return &Table{
		opts:     o,
		services: make(map[string]map[string]*nodeReport),
		calls:    make(map[class]map[string]time.Time),
		cutoffs:  make(map[serviceClass]cutoff),
		shares:   make(map[serviceClass]*refusalShare),
	}
}

// AddReport records the report that came with an answer to r from a node of
// r.Service(). The class of r must be its root class.
func (t *Table) AddReport(now time.Time, r dogwoodford.Request, node string, rep Report) {
	nodes := t.services[r.Service()]
	if nodes == nil {
		nodes = make(map[string]*nodeReport)
		t.services[r.Service()] = nodes
	}
	nr := nodes[node]
	if nr == nil {
		t.dropExpired(now, nodes)
		nr = &nodeReport{downstream: make(map[class]downstream)}
		nodes[node] = nr
	}
	nr.own, nr.at = rep.Own, now
	c := classOf(r)
	if rep.Downstream > 0 {
		nr.downstream[c] = downstream{cutoff: rep.Downstream, at: now}
	} else {
		delete(nr.downstream, c)
	}
}

// Admit decides whether to dispatch r. It returns Run, or Refuse with the
// reason overload and a Retry-After hint.
func (t *Table) Admit(now time.Time, r dogwoodford.Request) dogwoodford.Verdict {
	c := classOf(r)
	calls := t.calls[c]
	if calls == nil {
		calls = make(map[string]time.Time)
		t.calls[c] = calls
	}
	calls[r.Service()] = now
	admitted := r.Priority() >= t.cutoff(now, r.Service(), c) || t.opts.Rand.IntN(t.opts.ProbeEvery) == 0
	s := t.record(now, serviceClass{service: r.Service(), class: c}, !admitted)
	if admitted {
		return dogwoodford.RunVerdict()
	}
	return dogwoodford.RefuseVerdict(dogwoodford.ReasonOverload, t.retryAfter(s))
}

// record counts a request for later Retry-After hints and returns the counts of
// its class and service.
func (t *Table) record(now time.Time, d serviceClass, refused bool) *refusalShare {
	s := t.shares[d]
	if s == nil {
		if len(t.shares) >= maxServiceClasses {
			clear(t.shares)
		}
		s = &refusalShare{at: now}
		t.shares[d] = s
	}
	s.record(now, refused)
	return s
}

// retryAfter returns the Retry-After hint for a refused request.
func (t *Table) retryAfter(s *refusalShare) time.Duration {
	if !t.opts.RetryByRefusalShare {
		return time.Second + time.Duration(t.opts.Rand.Int64N(int64(time.Second)))
	}
	// The hint is spread over half to one and a half times the wait, so that
	// callers that were refused together do not return together.
	wait := s.retryAfter()
	return wait/2 + time.Duration(t.opts.Rand.Int64N(int64(wait)))
}

// Cutoff returns the lowest priority of the class of r that r.Service() admits,
// according to the reports that have not expired.
func (t *Table) Cutoff(now time.Time, r dogwoodford.Request) dogwoodford.Priority {
	return t.cutoff(now, r.Service(), classOf(r))
}

// UpstreamReport returns the report that a guard sends with its answer to r.
// own is the cutoff of its own target.
func (t *Table) UpstreamReport(now time.Time, r dogwoodford.Request, own dogwoodford.Priority) Report {
	c := classOf(r)
	c.hop++
	rep := Report{Own: own}
	for service, at := range t.calls[c] {
		if now.Sub(at) >= callExpiry {
			delete(t.calls[c], service)
			continue
		}
		rep.Downstream = max(rep.Downstream, t.cutoff(now, service, c))
	}
	return rep
}

// maxServiceClasses bounds the cached cutoffs and the refusal shares, because
// customers choose the names of classes.
const maxServiceClasses = 1024

// cutoff returns the cutoff for class c that follows from the reports of the
// service's nodes. It may be cached for up to the refresh time.
func (t *Table) cutoff(now time.Time, service string, c class) dogwoodford.Priority {
	if t.opts.Refresh <= 0 {
		return t.combine(now, service, c)
	}
	d := serviceClass{service: service, class: c}
	if cached, ok := t.cutoffs[d]; ok && now.Before(cached.expiry) {
		return cached.value
	}
	if len(t.cutoffs) >= maxServiceClasses {
		clear(t.cutoffs)
	}
	value := t.combine(now, service, c)
	t.cutoffs[d] = cutoff{value: value, expiry: now.Add(t.opts.Refresh)}
	return value
}

// combine computes the cutoff for class c from the unexpired reports of the
// service's nodes. It returns the lowest cutoff, as a request is certain to be
// refused only if no target admits it, or with Options.UseMean the mean.
func (t *Table) combine(now time.Time, service string, c class) dogwoodford.Priority {
	least, found := dogwoodford.Priority(0), false
	sum, n := dogwoodford.Priority(0), dogwoodford.Priority(0)
	for _, nr := range t.services[service] {
		if now.Sub(nr.at) >= t.opts.Expiry {
			continue
		}
		p := nr.own
		if b, ok := nr.downstream[c]; ok && now.Sub(b.at) < t.opts.Expiry {
			p = max(p, b.cutoff)
		}
		if !found || p < least {
			least, found = p, true
		}
		sum, n = sum+p, n+1
	}
	if t.opts.UseMean && n > 0 {
		return sum / n
	}
	return least
}

// dropExpired removes nodes whose reports have expired, so that the table is
// bounded by the nodes that are present.
func (t *Table) dropExpired(now time.Time, nodes map[string]*nodeReport) {
	for name, nr := range nodes {
		if now.Sub(nr.at) >= t.opts.Expiry {
			delete(nodes, name)
		}
	}
}

func classOf(r dogwoodford.Request) class { return class{r.Customer(), r.Class(), r.Hop()} }
