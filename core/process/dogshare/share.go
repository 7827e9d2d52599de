package dogshare

import (
	"math"
	"sort"
	"time"

	"dogwoodford"
)

const (
	// halfLife is the time in which counted demand decays by half. It averages over
	// bursts of single callers and follows a workspace within seconds.
	halfLife = 4 * time.Second
	// refreshInterval is the time for which the curve of all demand is used before it
	// is computed again.
	refreshInterval = 250 * time.Millisecond
	// priorCount is the number of requests that the estimate from the weight counts as.
	// A node sees less than one request a second of most workspaces, so that a count
	// alone would take any that sends a request for one that sends too many.
	priorCount = 4
)

// Weight is the weight of one workspace.
type Weight struct {
	Name   string
	Weight float64 // 0 means the mean of the others.
}

// Shares ranks the requests of workspaces.
type Shares struct {
	weights     map[string]float64
	totalWeight float64
	levels      [dogwoodford.MaxImportance + 1]level
}

// level holds the demand of one importance.
type level struct {
	counts  map[string]float64 // Decaying number of requests by workspace.
	total   float64
	decayed time.Time // Moment for which the counts hold.
	curve   curve
	curveAt time.Time
}

// New returns Shares without weights.
func New() *Shares { return &Shares{weights: make(map[string]float64)} }

// SetWeights replaces the weights. The counts of workspaces that stay are kept.
func (s *Shares) SetWeights(weights []Weight) {
	mean := meanWeight(weights)
	s.weights, s.totalWeight = make(map[string]float64, len(weights)), 0
	for _, w := range weights {
		if w.Weight <= 0 {
			w.Weight = mean
		}
		s.weights[w.Name] = w.Weight
		s.totalWeight += w.Weight
	}
	for i := range s.levels {
		s.levels[i].forget(s.weights)
	}
}

// meanWeight returns the mean of the weights that are set, or 1 if none is.
func meanWeight(weights []Weight) float64 {
	sum, n := 0.0, 0
	for _, w := range weights {
		if w.Weight > 0 {
			sum += w.Weight
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}

// Rank counts a request of a workspace and returns its rank among those of its importance,
// from 0 to dogwoodford.RankCount-1; higher ranks are served first. fraction is a number
// in [0, 1) that is drawn for the request. A workspace without a weight has the rank that
// fraction gives.
func (s *Shares) Rank(now time.Time, name string, importance int, fraction float64) int {
	weight, ok := s.weights[name]
	if !ok {
		return toRank(fraction)
	}
	l := &s.levels[importance]
	l.count(now, name)
	if now.Sub(l.curveAt) >= refreshInterval || l.curve.empty() {
		l.curve, l.curveAt = s.newCurve(l), now
	}
	// Requests of a workspace are spread evenly over its demand per weight. One at a
	// lower position is served if there is room for this much per weight.
	position := (1 - fraction) * s.relativeDemand(l, name, weight)
	return toRank(1 - l.curve.share(position))
}

func toRank(fraction float64) int {
	return max(0, min(dogwoodford.RankCount-1, int(fraction*dogwoodford.RankCount)))
}

// relativeDemand returns the demand of a workspace relative to its weight, where 1 is the
// mean of all.
func (s *Shares) relativeDemand(l *level, name string, weight float64) float64 {
	expected := l.total * weight / s.totalWeight
	return (priorCount + l.counts[name]) / (priorCount + expected)
}

// newCurve returns the curve of the demand at a level. Workspaces without a recent request
// count together, with their common weight.
func (s *Shares) newCurve(l *level) curve {
	demands := make([]demand, 0, len(l.counts)+1)
	rest, unseen := s.totalWeight, len(s.weights)-len(l.counts)
	for name := range l.counts {
		weight := s.weights[name]
		demands = append(demands, demand{relative: s.relativeDemand(l, name, weight), weight: weight})
		rest -= weight
	}
	if unseen > 0 && rest > 0 {
		expected := l.total * rest / s.totalWeight / float64(unseen)
		demands = append(demands, demand{relative: priorCount / (priorCount + expected), weight: rest})
	}
	return newCurve(demands)
}

// minCount is the count below which a workspace is forgotten.
const minCount = 0.05

// count decays the counts to now and adds a request.
func (l *level) count(now time.Time, name string) {
	if l.counts == nil {
		l.counts = make(map[string]float64)
	}
	if elapsed := now.Sub(l.decayed); elapsed >= refreshInterval {
		l.decay(elapsed)
		l.decayed = now
	}
	l.counts[name]++
	l.total++
}

func (l *level) decay(elapsed time.Duration) {
	factor := math.Exp2(-float64(elapsed) / float64(halfLife))
	l.total = 0
	for name, n := range l.counts {
		if n *= factor; n < minCount {
			delete(l.counts, name)
			continue
		}
		l.counts[name] = n
		l.total += n
	}
}

// forget drops the counts of workspaces without a weight.
func (l *level) forget(weights map[string]float64) {
	for name, n := range l.counts {
		if _, ok := weights[name]; !ok {
			delete(l.counts, name)
			l.total -= n
		}
	}
	l.curve = curve{}
}

// demand is the demand of one or several workspaces, relative to their weight.
type demand struct{ relative, weight float64 }

// curve is the share of all demand that is served if each workspace gets at most a certain
// amount per weight. It grows linearly between the relative demands of workspaces.
type curve struct {
	demands []demand  // Ascending.
	served  []float64 // Amount that is served up to each relative demand.
	weights []float64 // Weight of the demands above each, including it.
	total   float64
}

func newCurve(demands []demand) curve {
	sort.Slice(demands, func(i, j int) bool { return demands[i].relative < demands[j].relative })
	c := curve{demands: demands, served: make([]float64, len(demands)), weights: make([]float64, len(demands))}
	above := 0.0
	for i := len(demands) - 1; i >= 0; i-- {
		above += demands[i].weight
		c.weights[i] = above
	}
	before := 0.0
	for i, d := range demands {
		c.total += (d.relative - before) * c.weights[i]
		c.served[i], before = c.total, d.relative
	}
	return c
}

func (c *curve) empty() bool { return c.total == 0 }

// share returns the share of all demand that lies below a position.
func (c *curve) share(position float64) float64 {
	i := sort.Search(len(c.demands), func(i int) bool { return c.demands[i].relative >= position })
	if i == len(c.demands) {
		return 1
	}
	return (c.served[i] - (c.demands[i].relative-position)*c.weights[i]) / c.total
}
