package dogconfig

import (
	"math/rand/v2"
	"time"

	"dogwoodford"
	"dogwoodford/core/process/dogmember"
)

// Generation names one generation of a customer's contract. Generations are
// ordered by Number, then by Hash. Updates carry it by value.
type Generation struct {
	Customer string
	Number   int64  // From 1.
	Hash     uint64 // First 8 bytes of the SHA-256 of the text, big endian.
}

// Text is the text of a generation.
type Text struct {
	Generation
	Text []byte
}

// Less reports whether g is replaced by o.
func (g Generation) Less(o Generation) bool {
	return g.Number < o.Number || g.Number == o.Number && g.Hash < o.Hash
}

// GenerationUpdate returns the update that carries g.
func GenerationUpdate(g Generation) dogmember.Update {
	return dogmember.Update{Key: "contract/" + g.Customer, Value: g}
}

// Entry is the contract in force of one customer.
type Entry[C any] struct {
	Generation
	Text     []byte // Must not be changed.
	Contract C
	Since    time.Time // When it came into force at this node.
}

// Parsed is what a text says of itself.
type Parsed[C any] struct {
	Customer   string
	Generation int64
	Contract   C
}

// Options configure a Config.
type Options[C any] struct {
	// Parse parses and checks the text of a contract.
	Parse func(text []byte) (Parsed[C], error)
	Rand  *rand.Rand
	Node  string // Name of this node.
	// MaxCustomers bounds the memory; 4,096 if zero.
	MaxCustomers int
}

// Config holds the contracts in force at one node. It is not safe for
// concurrent use.
type Config[C any] struct{ opt Options[C] }

// New returns a Config without contracts. It panics if Parse or Rand is nil.
func New[C any](opt Options[C]) *Config[C] { return &Config[C]{opt: opt} }

// OnEvent applies an event and returns what to do.
func (c *Config[C]) OnEvent(now time.Time, ev Event) []Action { return nil }

// Snapshot returns the contracts in force by customer. It is a new map after
// each InForce action and is never changed once returned.
func (c *Config[C]) Snapshot() map[string]Entry[C] { return nil }

// Generations returns the generations in force by customer name, for a Pull of
// the whole state.
func (c *Config[C]) Generations() []Generation { return nil }

// Texts returns the texts in force of the named customers, all if none is
// named.
func (c *Config[C]) Texts(customers []string) []Text { return nil }

// Hash returns the hash of all generations in force, 0 if there is none.
func (c *Config[C]) Hash() uint64 { return 0 }

// Watchers returns the two watchers of a data centre, which are also the
// keepers of its members object.
func Watchers(members []dogmember.Member, dataCentre string) []string {
	return dogmember.Keepers(members, dataCentre)
}

// ObjectName returns the name of the platform's object for a customer.
func ObjectName(customer string) string { return "contract/" + customer }

var _ dogwoodford.Object
