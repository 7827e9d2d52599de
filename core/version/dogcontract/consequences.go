package dogcontract

import (
	"math"
	"sort"
)

// Consequences holds the effects of a contract, for operators to review before
// they apply it.
type Consequences struct {
	// Shed lists the classes in the order in which load shedding drops them,
	// the least important first.
	Shed []ShedStep `json:"shed"`
	// Attempts holds, by class, upper bounds on the attempts of one customer
	// request.
	Attempts []AttemptBound `json:"attempts"`
	// Capacity holds the total capacity of each service.
	Capacity []ServiceCapacity `json:"capacity"`
	// Depth is the depth of the call tree for which Attempts is computed.
	Depth int `json:"depth"`
}

// ShedStep is one importance and its classes, which are shed together.
type ShedStep struct {
	Importance int      `json:"importance"`
	Classes    []string `json:"classes"`
}

// AttemptBound holds upper bounds on the attempts of one customer request of a
// class.
type AttemptBound struct {
	Class string `json:"class"`
	// Largest bounds the attempts of all calls of a chain of depth
	// Consequences.Depth. A retried call makes its child calls again, so the
	// worst case spends the whole retry budget at the first hop.
	Largest int `json:"largest"`
	// Deepest bounds the attempts of the deepest call, whatever the depth.
	Deepest int `json:"deepest"`
	// PerHop is the bound on the attempts of the deepest call if each hop had
	// the same number of retries; it grows exponentially with the depth.
	PerHop float64 `json:"per_hop"`
}

// ServiceCapacity is the total capacity of one service, as its section states.
type ServiceCapacity struct {
	Service string `json:"service"`
	// Slots is the number of requests that all workers together run
	// concurrently.
	Slots int `json:"slots"`
	// SlotsLessOne is Slots with one worker out of service.
	SlotsLessOne int `json:"slots_less_one"`
	// Connections is the number of connections that all workers together
	// accept.
	Connections int `json:"connections"`
	// Rates holds, by class, the sustainable requests per second if each
	// request takes its whole deadline and no other class uses the service. The
	// rate is inversely proportional to the service time.
	Rates map[string]float64 `json:"rates"`
}

// MaxDepth is the largest depth of a call tree in Consequences.
const MaxDepth = 64

// Consequences computes the effects of the contract for call chains of the given
// depth, which is clamped to [1, MaxDepth].
func (c *Contract) Consequences(depth int) Consequences {
	depth = min(max(depth, 1), MaxDepth)
	out := Consequences{Depth: depth}
	steps := make(map[int]*ShedStep)
	for _, cl := range c.classes {
		if steps[cl.importance] == nil {
			steps[cl.importance] = &ShedStep{Importance: cl.importance}
		}
		steps[cl.importance].Classes = append(steps[cl.importance].Classes, cl.name)
		out.Attempts = append(out.Attempts, AttemptBound{
			Class:   cl.name,
			Largest: cl.MaxAttempts(depth),
			Deepest: cl.MaxAttempts(1),
			PerHop:  math.Pow(float64(1+cl.retries), float64(depth)),
		})
	}
	for _, s := range steps {
		out.Shed = append(out.Shed, *s)
	}
	sort.Slice(out.Shed, func(i, j int) bool { return out.Shed[i].Importance < out.Shed[j].Importance })
	for _, s := range c.services {
		out.Capacity = append(out.Capacity, c.capacity(s))
	}
	return out
}

// MaxAttempts returns an upper bound on the attempts of one customer request.
// calls is the number of calls in its call tree when nothing fails, including
// the customer's own.
func (c Class) MaxAttempts(calls int) int { return calls * (1 + c.retries) }

func (c *Contract) capacity(s Service) ServiceCapacity {
	n := ServiceCapacity{
		Service:      s.name,
		Slots:        s.workers * s.slots,
		SlotsLessOne: (s.workers - 1) * s.slots,
		Connections:  s.workers * s.connections,
		Rates:        make(map[string]float64),
	}
	for _, cl := range c.classes {
		if cl.service == s.name {
			n.Rates[cl.name] = float64(n.Slots) / cl.deadline.Seconds()
		}
	}
	return n
}
