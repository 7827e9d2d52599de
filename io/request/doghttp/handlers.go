package doghttp

import (
	"net/http"

	"dogwoodford"
)

// Config is what the handlers work with. All fields are required unless the
// comment says otherwise.
type Config struct {
	Name          string // Of this node.
	Service       string // Of the target beside this node.
	TargetAddress string // IP address and port.
	PeerKey       string

	Control  Control
	Gate     *Gate
	Router   *Balancer
	Pressure Pressure
	Records  Records
	Suspects Suspects // Optional.
	Tracer   Tracer   // Optional.
	Events   Events   // Optional.
	Counters Counters // Optional.

	Peers  Sender // To other nodes.
	Target Sender // To the target.
}

// Handlers are the handlers of one node. They share the requests in progress,
// so that the exit finds the request that a child call belongs to.
type Handlers struct{ cfg Config }

// New returns the handlers. It panics if a required field is not set.
func New(cfg Config) *Handlers { return &Handlers{cfg: cfg} }

// Entry returns the handler for callers.
func (h *Handlers) Entry() http.Handler { return nil }

// Exit returns the handler for child calls of the own target.
func (h *Handlers) Exit() http.Handler { return nil }

// Peer returns the handler for calls of other nodes: owner and guard. Mount
// the messages between nodes beside it.
func (h *Handlers) Peer() http.Handler { return nil }

// InProgress returns the digests of the requests in progress at the target,
// for the report of suspects when the target dies.
func (h *Handlers) InProgress() []uint64 { return nil }

// Gate is an Admission with the lock around it and the requests that wait.
type Gate struct{}

// NewGate returns a gate around adm, which must not be used elsewhere.
func NewGate(adm dogwoodford.Admission) *Gate { _ = adm; return &Gate{} }

// SetSlots tells how many requests the target says that it can run at once.
func (g *Gate) SetSlots(n int) { _ = n }

// Load returns the present load.
func (g *Gate) Load() dogwoodford.Load { return dogwoodford.Load{} }

// Balancer is a Router with the lock around it.
type Balancer struct{}

// NewBalancer returns a balancer around r, which must not be used elsewhere.
func NewBalancer(r dogwoodford.Router) *Balancer { _ = r; return &Balancer{} }
