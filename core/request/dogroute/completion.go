package dogroute

import "dogwoodford"

const (
	// probeInterval is the number of choices of which one takes a target without
	// the comparison, if it has room and its report is old. A target that looked
	// slow is found again when it has become fast.
	probeInterval = 64
	// probeTrust is the weight of a report below which it is old.
	probeTrust = 0.5
	// maxSpeedRatio bounds the time of a target relative to the mean of its
	// service. Lasting differences are smaller, and passing ones are in the
	// requests in flight.
	maxSpeedRatio = 3
	// queueingCost is the factor by which requests beyond the limit count more
	// than those within: they wait, while a slower target with room runs them.
	queueingCost = 4
)

// completion returns the expected completion time of one more request, in service
// times, at a target with busy requests of limit.
func completion(busy, limit int) float64 {
	u := float64(busy+1) / float64(limit)
	return u + queueingCost*max(0, u-1)
}

// probes reports whether c is chosen without a comparison, to renew its report.
func (rt *Router) probes(c candidate) bool {
	return rt.opts.ByCompletion && c.trust < probeTrust && c.utilisation < localSaturation &&
		rt.opts.Rand.Uint32()%probeInterval == 0
}

// estimate multiplies the costs of the candidates by their service times. The
// times that targets reported lose their weight with age, in favour of the mean
// of the candidates.
func (rt *Router) estimate(list []candidate) {
	if !rt.opts.ByCompletion {
		return
	}
	sum, weight := 0.0, 0.0
	for i := range list {
		if c := &list[i]; c.trust > 0 && c.node.load.ServiceTime > 0 {
			sum += c.node.load.ServiceTime.Seconds() * c.trust
			weight += c.trust
		}
	}
	if sum == 0 {
		return
	}
	mean := sum / weight
	for i := range list {
		c := &list[i]
		t := mean
		if c.trust > 0 && c.node.load.ServiceTime > 0 {
			t += c.trust * (c.node.load.ServiceTime.Seconds() - mean)
		}
		c.cost *= min(max(t, mean/maxSpeedRatio), mean*maxSpeedRatio)
	}
}

// reportedSince reports whether a target has reported its load since it became
// ready, so that the limit which its guard found holds in place of SlowStart. n holds
// the observations on it and may be nil.
func (rt *Router) reportedSince(t *dogwoodford.Target, n *node) bool {
	return rt.opts.ByCompletion && n != nil && n.loadAt.After(t.ReadySince)
}
