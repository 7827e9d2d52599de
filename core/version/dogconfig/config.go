package dogconfig

import (
	"crypto/sha256"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"dogwoodford/core/process/dogmember"
)

// ErrMismatch is reported for a text that belongs to another customer than the
// one it was received for, or that has no valid generation.
var ErrMismatch = eris.New("text names another customer or generation")

// Generation identifies one generation of a customer's contract. Generations are
// ordered by Number, then by Hash. Updates carry it by value.
type Generation struct {
	Customer string
	Number   int64  // At least 1.
	Hash     uint64 // First 8 bytes of the SHA-256 of the text, big endian.
}

// Text is the text of a generation.
type Text struct {
	Generation
	Text []byte
}

// Less reports whether o replaces g.
func (g Generation) Less(o Generation) bool {
	return g.Number < o.Number || g.Number == o.Number && g.Hash < o.Hash
}

// HashText returns the hash of a text, as in Generation.Hash.
func HashText(text []byte) uint64 {
	sum := sha256.Sum256(text)
	return binary.BigEndian.Uint64(sum[:8])
}

// GenerationUpdate returns the membership update that carries g.
func GenerationUpdate(g Generation) dogmember.Update {
	return dogmember.Update{Key: "contract/" + g.Customer, Value: g}
}

// Entry is the contract in force of one customer.
type Entry[C any] struct {
	Generation
	Text     []byte // Must not be modified.
	Contract C
	Since    time.Time // When it came into force on this node.
	Source   string    // "platform" or the address of the peer that sent it.
}

// Parsed is a parsed text with the customer and generation that it states.
type Parsed[C any] struct {
	Customer   string
	Generation int64
	Contract   C
}

// Options configure a Config.
type Options[C any] struct {
	// Parse parses and validates the text of a contract.
	Parse func(text []byte) (Parsed[C], error)
	Rand  *rand.Rand
	Node  string // Name of this node.
	// MaxCustomers is the maximum number of customers, which bounds the memory;
	// 4,096 if zero.
	MaxCustomers int
}

// Config holds the contracts in force on one node. It is not safe for
// concurrent use.
type Config[C any] struct {
	opt      Options[C]
	snapshot map[string]Entry[C]
	hash     uint64
	rejected map[string]Generation // Latest rejected text per customer.
	conflict map[string]Generation // Latest reported conflict per customer.
	pulls    pulls
	platform platform
	actions  []Action
}

const defaultMaxCustomers = 4096

// New returns a Config without contracts. It panics if Parse or Rand is nil.
func New[C any](opt Options[C]) *Config[C] {
	if opt.Parse == nil || opt.Rand == nil {
		panic("dogconfig: options lack Parse or Rand")
	}
	if opt.MaxCustomers == 0 {
		opt.MaxCustomers = defaultMaxCustomers
	}
	return &Config[C]{
		opt:      opt,
		snapshot: map[string]Entry[C]{},
		rejected: map[string]Generation{},
		conflict: map[string]Generation{},
		pulls:    pulls{pending: map[string]*pending{}},
		platform: platform{outdated: map[string]*outdated{}},
	}
}

// OnEvent applies an event and returns the actions to carry out, in order.
func (c *Config[C]) OnEvent(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case Tick:
		c.tickPulls(now)
		c.tickPlatform(now)
	case WatcherChanged:
		c.onWatcher(now, ev.Watcher)
	case ObjectSeen:
		c.onObject(now, ev.Object)
	case Listed:
		c.onListed(now, ev.Objects)
	case GenerationHeard:
		c.onGeneration(now, ev.Peer, ev.Generation)
	case PeerDiffers:
		c.onPeerDiffers(now, ev.Peer)
	case PullAnswered:
		c.onPullAnswered(now, ev)
	case PullFailed:
		c.onPullFailed(now, ev.Peer)
	case WrittenBack:
		c.onWrittenBack(now, ev)
	}
	actions := c.actions
	c.actions = nil
	return actions
}

func (c *Config[C]) emit(a Action) { c.actions = append(c.actions, a) }

// offer processes a text received from source, and puts it in force if it is newer
// than the generation in force. It returns the generation of the text, and false
// if the text was rejected.
func (c *Config[C]) offer(now time.Time, customer, source string, text []byte) (Generation, bool) {
	got := Generation{Customer: customer, Hash: HashText(text)}
	have, known := c.snapshot[customer]
	if known && have.Hash == got.Hash {
		return have.Generation, true
	}
	if bad, ok := c.rejected[customer]; ok && bad.Hash == got.Hash {
		return bad, false
	}
	parsed, err := c.opt.Parse(text)
	got.Number = parsed.Generation
	if err == nil && (parsed.Customer != customer || parsed.Generation < 1) {
		err = ErrMismatch
	}
	switch {
	case err != nil:
		if _, ok := c.rejected[customer]; ok || len(c.rejected) < c.opt.MaxCustomers {
			c.rejected[customer] = got
		}
		c.emit(Report{Kind: Rejected, Customer: customer, Have: have.Generation, Got: got, Source: source, Err: err})
		return got, false
	case !known && len(c.snapshot) >= c.opt.MaxCustomers:
		c.emit(Report{Kind: Full, Customer: customer, Got: got, Source: source})
		return got, false
	}
	if known && have.Number == got.Number {
		c.reportConflict(have.Generation, got, source)
	}
	if known && !have.Less(got) {
		return got, true
	}
	c.activate(now, Entry[C]{Generation: got, Text: slices.Clone(text), Contract: parsed.Contract, Since: now, Source: source})
	return got, true
}

// activate puts a generation in force. It copies the map, because snapshots are
// read by other goroutines.
func (c *Config[C]) activate(now time.Time, e Entry[C]) {
	next := make(map[string]Entry[C], len(c.snapshot)+1)
	for k, v := range c.snapshot {
		next[k] = v
	}
	if old, ok := next[e.Customer]; ok {
		c.hash ^= generationHash(old.Generation)
	}
	c.hash ^= generationHash(e.Generation)
	next[e.Customer] = e
	c.snapshot = next
	c.dropPending(e.Generation)
	c.emit(InForce{Generation: e.Generation})
	c.deferWriteBack(now, e.Generation)
}

// reportConflict reports a conflict, unless got was the last one reported for the
// customer.
func (c *Config[C]) reportConflict(have, got Generation, source string) {
	if c.conflict[got.Customer] == got {
		return
	}
	c.conflict[got.Customer] = got
	c.emit(Report{Kind: Conflict, Customer: got.Customer, Have: have, Got: got, Source: source})
}

// Snapshot returns the contracts in force by customer. Each InForce action comes
// with a new map; a returned map is never modified, so that other goroutines can
// read it.
func (c *Config[C]) Snapshot() map[string]Entry[C] { return c.snapshot }

// Generations returns the generations in force, sorted by customer, for the answer
// to a Pull of the whole state.
func (c *Config[C]) Generations() []Generation {
	out := make([]Generation, 0, len(c.snapshot))
	for _, e := range c.snapshot {
		out = append(out, e.Generation)
	}
	slices.SortFunc(out, func(a, b Generation) int { return strings.Compare(a.Customer, b.Customer) })
	return out
}

// Texts returns the texts in force of the given customers and leaves out unknown
// customers.
func (c *Config[C]) Texts(customers []string) []Text {
	var out []Text
	for _, name := range customers {
		if e, ok := c.snapshot[name]; ok {
			out = append(out, Text{Generation: e.Generation, Text: e.Text})
		}
	}
	return out
}

// Hash returns the hash of all generations in force, 0 if there is none.
func (c *Config[C]) Hash() uint64 { return c.hash }

// Watchers returns the names of the two watchers of a data centre, which are those
// that dogmember.Keepers returns.
func Watchers(members []dogmember.Member, dataCentre string) []string {
	return dogmember.Keepers(members, dataCentre)
}

// ObjectName returns the name of the object in which the platform stores a
// customer's contract.
func ObjectName(customer string) string { return objectPrefix + customer }

const objectPrefix = "contract/"

// generationHash returns a 64-bit hash of g with its customer. Config.hash is the
// exclusive or of these hashes over all customers, so that it changes with each.
func generationHash(g Generation) uint64 {
	h := sha256.New()
	h.Write([]byte(g.Customer))
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], uint64(g.Number))
	binary.BigEndian.PutUint64(b[8:], g.Hash)
	h.Write(b[:])
	return binary.BigEndian.Uint64(h.Sum(nil))
}
