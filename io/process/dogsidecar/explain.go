package dogsidecar

import (
	"net/http"
	"net/url"
	"time"

	"dogwoodford"
	"dogwoodford/core/process/dogquota"
	"dogwoodford/core/process/dogtree"
	"dogwoodford/core/request/dogroute"
	"dogwoodford/core/version/dogtable"
	"dogwoodford/io/process/dogexplain"
	"dogwoodford/io/request/dogrelay"
)

const (
	// maxExplainedServices and maxExplainedCandidates bound an explanation to about
	// 300 KB.
	maxExplainedServices   = 16
	maxExplainedCandidates = 64
)

// Reasons for which the fleet view leaves out a target.
const (
	leftOutUnreachable = "unreachable"
	leftOutOfFleet     = "not offered by the fleet view"
)

// metricsHandler returns the handler of the metrics listener.
func (n *node) metricsHandler() http.Handler {
	metrics := n.metrics.Handler()
	explain := dogexplain.Handler(func(q dogexplain.Query) dogexplain.Answer { return n.explain(time.Now(), q) })
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && r.URL.Path == dogexplain.Path {
			explain.ServeHTTP(w, r)
			return
		}
		metrics.ServeHTTP(w, r)
	})
}

// explanation is an answer that is being made.
type explanation struct {
	*node
	now    time.Time
	query  dogexplain.Query
	answer dogexplain.Answer
}

// explain returns what the node would do with a request. It changes nothing that decides
// on requests.
func (n *node) explain(now time.Time, q dogexplain.Query) dogexplain.Answer {
	e := &explanation{node: n, now: now, query: q}
	e.answer = dogexplain.Answer{
		Node: n.settings.Node, DataCentre: n.settings.DataCentre,
		Config: dogexplain.Config{AgeMs: -1},
	}
	if n.state.Leaving() {
		e.refuse(http.StatusServiceUnavailable, dogwoodford.ReasonDraining, "the node is stopping", dogrelay.RetryHint(dogwoodford.ReasonDraining))
	}
	table := n.configs.tables.Table()
	if table == nil {
		e.refuse(http.StatusServiceUnavailable, dogwoodford.ReasonNoConfig, "the node has no configuration", dogrelay.RetryHint(dogwoodford.ReasonNoConfig))
		return e.answer
	}
	e.describeConfig(table)
	route, ok := e.findRoute(table)
	if !ok {
		return e.answer
	}
	w, ok := e.identify(table, route)
	priority := route.Priority()
	if w != nil {
		priority = w.Priority(priority)
		e.answer.Workspace = &dogexplain.Workspace{Name: w.Name(), Priority: priority}
	}
	possible := e.describeServices(route, priority)
	if ok {
		e.describeTrees(route)
		e.describeQuota(w)
	}
	if !possible {
		e.refuse(http.StatusServiceUnavailable, dogwoodford.ReasonNoTarget, "no service of the route has a target that may be chosen",
			dogrelay.RetryHint(dogwoodford.ReasonNoTarget))
	}
	return e.answer
}

// refuse records a refusal if it is the first.
func (e *explanation) refuse(status int, reason dogwoodford.Reason, detail string, retryAfter time.Duration) {
	if e.answer.Refusal == nil {
		e.answer.Refusal = &dogexplain.Refusal{
			Status: status, Reason: string(reason), Detail: detail, RetryAfterMs: retryAfter.Milliseconds(),
		}
	}
}

func (e *explanation) describeConfig(t *dogtable.Table) {
	c := &e.answer.Config
	c.Version = t.Version()
	if since := e.configs.since.Load(); since != nil {
		c.SinceMs = e.now.Sub(*since).Milliseconds()
	}
	if e.keys == nil {
		c.Trusted = true
		return
	}
	age, known, trusted := e.keys.inspect(t.Version())
	c.Trusted = trusted
	if known {
		c.AgeMs = age.Milliseconds()
	}
}

// findRoute finds the route of the request; false if it is refused without one.
func (e *explanation) findRoute(t *dogtable.Table) (*dogtable.Route, bool) {
	path := e.query.Path
	if u, err := url.ParseRequestURI(path); err == nil {
		path = u.EscapedPath()
	}
	route, ok := t.Lookup(e.query.Host, path)
	if !ok {
		e.refuse(http.StatusNotFound, dogwoodford.ReasonNoRoute, "no route has this host and a prefix of this path", 0)
		return nil, false
	}
	e.answer.Route = &dogexplain.Route{
		Name: route.Name(), Host: route.Host(), Prefix: route.Prefix(), Kind: route.Kind().String(),
		TimeoutMs: route.Timeout().Milliseconds(), Attempts: route.Attempts(), Priority: route.Priority(), Public: route.Public(),
	}
	if route.Unreadable() {
		e.refuse(http.StatusServiceUnavailable, dogwoodford.ReasonNoConfig, "the node does not understand the route", dogrelay.RetryHint(dogwoodford.ReasonNoConfig))
		return nil, false
	}
	return route, true
}

// identify returns the workspace of the request, nil if it needs none; false if it is
// refused.
func (e *explanation) identify(t *dogtable.Table, route *dogtable.Route) (*dogtable.Workspace, bool) {
	if route.Public() || !t.HasWorkspaces() {
		return nil, true
	}
	if !e.answer.Config.Trusted {
		e.refuse(http.StatusServiceUnavailable, dogwoodford.ReasonStaleKeys,
			"the node does not know whether its configuration is still the newest", dogrelay.RetryHint(dogwoodford.ReasonStaleKeys))
		return nil, false
	}
	if e.query.Key == "" {
		e.refuse(http.StatusUnauthorized, dogwoodford.ReasonCredential, "no key was given", 0)
		return nil, false
	}
	w, ok := t.Workspace(e.query.Key)
	if !ok {
		e.refuse(http.StatusUnauthorized, dogwoodford.ReasonCredential, "no workspace has this key", 0)
	}
	return w, ok
}

func (e *explanation) describeTrees(route *dogtable.Route) {
	i := e.trees.inspect(e.now, dogtree.Request{
		Class: route.Name(), Repeatable: route.Kind().Repeatable(), Left: time.Duration(e.query.LeftMs) * time.Millisecond,
	})
	e.answer.Trees = &dogexplain.Trees{Runs: i.Runs.Total, Failed: i.Runs.Failed, Refuses: i.Refuses}
	if i.Refuses {
		e.refuse(http.StatusServiceUnavailable, dogwoodford.ReasonDownstream, "few call trees of the route complete", i.RetryAfter)
	}
}

// quotaDecisions are the texts of verdicts.
var quotaDecisions = map[dogquota.Verdict]string{
	dogquota.Granted: "granted", dogquota.Refused: "refused", dogquota.Wait: "ask the lender",
}

func (e *explanation) describeQuota(w *dogtable.Workspace) {
	if w == nil || !w.Limited() || e.quotas == nil {
		return
	}
	i := e.quotas.inspect(e.now, w)
	e.answer.Quota = &dogexplain.Quota{
		RatePerS: w.Rate(), Burst: w.Burst(), Lender: i.Lender, Tokens: i.Tokens, Decision: quotaDecisions[i.Verdict],
	}
	if i.Fallback {
		e.answer.Quota.Decision = "fallback bucket"
	}
	if i.Verdict == dogquota.Refused {
		e.refuse(http.StatusTooManyRequests, dogwoodford.ReasonQuota, "the workspace has used up its quota", i.RetryAfter)
	}
}

// describeServices describes the services of the route, records a refusal if all of them
// refuse, and reports whether one of them has a target that may be chosen.
func (e *explanation) describeServices(route *dogtable.Route, priority int) (possible bool) {
	total := 0
	for _, b := range route.Backends() {
		total += b.Weight
	}
	admits := false
	var hint time.Duration
	for i, b := range route.Backends() {
		if i == maxExplainedServices {
			return true // The rest is not known.
		}
		s, hasTarget := e.describeService(route, b, priority)
		s.Percent = 100 * b.Weight / total
		e.answer.Services = append(e.answer.Services, s)
		if b.Weight == 0 {
			continue
		}
		possible = possible || hasTarget
		admits = admits || s.Refuses != refusesAll
		hint = max(hint, time.Duration(s.RetryAfterMs)*time.Millisecond)
	}
	if !admits {
		e.refuse(http.StatusServiceUnavailable, dogwoodford.ReasonOverload, "the services of the route refuse this priority", hint)
	}
	return possible
}

// Values of dogexplain.Service.Refuses.
const (
	refusesNone = "none"
	refusesSome = "some"
	refusesAll  = "all but probes"
)

// describeService describes one service, and reports whether a target of it may be chosen.
func (e *explanation) describeService(route *dogtable.Route, b dogtable.Backend, priority int) (dogexplain.Service, bool) {
	spec := dogwoodford.RequestSpec{
		Service: b.Service, Class: route.Name(), Importance: max(0, dogwoodford.MaxImportance-priority), FairRank: 1,
	}
	lowest := dogwoodford.NewRequest(spec)
	spec.FairRank = dogwoodford.RankCount
	highest := dogwoodford.NewRequest(spec)
	out := dogexplain.Service{
		Name: b.Service, Weight: b.Weight, Refuses: refusesNone,
		LowestPriority: int(lowest.Priority()), HighestPriority: int(highest.Priority()),
	}
	cutoff, retryAfter := e.pressure.inspect(e.now, lowest)
	out.Cutoff = int(cutoff)
	switch {
	case cutoff > highest.Priority():
		out.Refuses = refusesAll
	case cutoff > lowest.Priority():
		out.Refuses = refusesSome
	}
	if out.Refuses != refusesNone {
		out.RetryAfterMs = retryAfter.Milliseconds()
	}
	candidates := e.candidates(highest)
	possible := len(candidates) > 0 && candidates[0].LeftOut == ""
	if n := len(candidates); n > maxExplainedCandidates {
		candidates, out.Omitted = candidates[:maxExplainedCandidates], n-maxExplainedCandidates
	}
	out.Candidates = candidates
	return out, possible
}

// candidates returns the targets of the service of r in the order of preference, those
// that are left out last.
func (e *explanation) candidates(r dogwoodford.Request) []dogexplain.Candidate {
	var targets, others []dogwoodford.Target
	leftOut := make(map[string]string)
	for _, t := range e.state.serviceTargets(e.now, r.Service()) {
		switch {
		case t.Routable || t.Target.State != dogwoodford.StateReady:
			targets = append(targets, t.Target)
			continue
		case !t.Reachable:
			leftOut[t.Target.Node] = leftOutUnreachable
		default:
			leftOut[t.Target.Node] = leftOutOfFleet
		}
		others = append(others, t.Target)
	}
	var choices, rest []dogroute.Choice
	e.balancer.Inspect(func(now time.Time) {
		choices, rest = e.router.Explain(now, r, targets), e.router.Explain(now, r, others)
	})
	out := []dogexplain.Candidate{}
	for _, c := range append(choices, rest...) {
		candidate := candidateOf(c)
		if reason, ok := leftOut[c.Target.Node]; ok {
			candidate.LeftOut = reason
		}
		out = append(out, candidate)
	}
	return out
}

func candidateOf(c dogroute.Choice) dogexplain.Candidate {
	out := dogexplain.Candidate{
		Node: c.Target.Node, State: c.Target.State.String(), DataCentre: c.Target.DataCentre, Local: c.Local,
		LeftOut: string(c.Excluded), FromHere: c.InFlight, Weight: c.Weight, Utilisation: c.Utilisation, Cost: c.Cost,
	}
	if c.Known {
		out.Load = &dogexplain.Load{
			InFlight: c.Load.InFlight, Limit: c.Load.Limit, Queued: c.Load.Queued, Cutoff: int(c.Load.Cutoff),
			ServiceMs: c.Load.ServiceTime.Seconds() * 1000, AgeMs: c.LoadAge.Milliseconds(),
		}
	}
	return out
}
