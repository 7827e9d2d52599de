package dogcontract

import (
	"math"
	"sort"
)

// Consequences says what follows from a contract, for operators to read
// before they apply it.
type Consequences struct {
	// Shed lists the classes by importance, those shed first at the front.
	Shed []ShedStep `json:"shed"`
	// Attempts bounds the attempts of one customer request by class.
	Attempts []AttemptBound `json:"attempts"`
	// Capacity says what the capacity notes allow.
	Capacity []CapacityNote `json:"capacity"`
	// Depth is the depth of the call tree that Attempts is computed for.
	Depth int `json:"depth"`
}

// ShedStep is one importance and its classes.
type ShedStep struct {
	Importance int      `json:"importance"`
	Classes    []string `json:"classes"`
}

// AttemptBound bounds the attempts of one customer request of a class.
type AttemptBound struct {
	Class string `json:"class"`
	// Largest bounds the attempts of all calls of a chain of the given depth.
	// A repeated call makes its child calls again, so the worst case spends the
	// whole budget at the first hop.
	Largest int `json:"largest"`
	// Deepest bounds the attempts of the deepest call, at any depth.
	Deepest int `json:"deepest"`
	// PerHop is what the same number of retries at each hop would allow at
	// the deepest call; it grows with the power of the depth.
	PerHop float64 `json:"per_hop"`
}

// CapacityNote says what the note on one service allows.
type CapacityNote struct {
	Service string `json:"service"`
	// Slots is the number of requests that all workers run at once.
	Slots int `json:"slots"`
	// SlotsLessOne is the same without one worker.
	SlotsLessOne int `json:"slots_less_one"`
	// Connections is the number of connections that all workers accept.
	Connections int `json:"connections"`
	// Rates gives, by class, the requests a second that fit if each takes its
	// whole deadline and the class has the service for itself. Shorter
	// service times allow more in proportion.
	Rates map[string]float64 `json:"rates"`
}

// MaxDepth bounds the depth of a call tree in Consequences.
const MaxDepth = 64

// Consequences computes what follows from the contract for call chains of the
// given depth, in [1, MaxDepth]; values outside are moved to the nearest end.
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
			Largest: cl.LargestAttempts(depth),
			Deepest: cl.LargestAttempts(1),
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

// LargestAttempts bounds the attempts of one customer request whose tree makes
// the given number of calls, the customer's included, when nothing fails.
func (c Class) LargestAttempts(calls int) int { return calls * (1 + c.retries) }

func (c *Contract) capacity(s Service) CapacityNote {
	n := CapacityNote{
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
