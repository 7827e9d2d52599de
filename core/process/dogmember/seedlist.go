package dogmember

import (
	"bytes"
	"encoding/json"
	"slices"
	"time"

	"dogwoodford"
)

// seedPrefix is the prefix of the objects that name members.
const seedPrefix = "members/"

const (
	// seedCount is the number of members named in an object. It is constant so
	// that the object does not change more often in a larger fleet.
	seedCount = 16
	// keeperDelay is the time after the join before a node acts as keeper: until
	// then it may not know the members with lower names.
	keeperDelay = 3 * time.Second
	// evalInterval is the least time between evaluations of the keeper role.
	evalInterval = 500 * time.Millisecond
)

// seedList is the state of the maintenance of the members object.
type seedList struct {
	dirty         bool // Whether members changed since the last evaluation.
	nextEval      time.Time
	eligibleAt    time.Time
	rank          int       // Position among the keepers, 0 or 1; -1 if not a keeper.
	announced     bool      // Value of the last KeeperChanged.
	want          []byte    // Value that the object should have.
	value         []byte    // As last read.
	nextRead      time.Time // Next read of the object; zero if this node is not a keeper.
	busy          bool      // Whether a read or write is in progress.
	bootstrapping bool      // Whether the write of onBootstrapWritten is in progress.
	lastWrite     time.Time
}

// ObjectName returns the name of the members object of a data centre.
func ObjectName(dataCentre string) string { return seedPrefix + dataCentre }

func (m *Membership) initSeedList(now time.Time) {
	m.seedList = seedList{rank: -1, lastWrite: now.Add(-m.opt.SeedWriteInterval)}
}

func (m *Membership) tickSeedList(now time.Time) {
	list := &m.seedList
	if !m.syncing.joined || now.Before(list.eligibleAt) {
		return
	}
	if list.dirty && !now.Before(list.nextEval) {
		list.dirty = false
		list.nextEval = now.Add(evalInterval)
		m.evaluate(now)
	}
	if list.rank < 0 || !m.opt.Platform || list.busy || list.nextRead.IsZero() || now.Before(list.nextRead) {
		return
	}
	list.busy = true
	list.nextRead = now.Add(m.jitter(m.opt.SeedReadInterval, 0.8, 1.2))
	m.act(ReadSeeds{Prefix: m.objectName()})
}

// evaluate determines whether this node is a keeper and what the object should
// contain, and schedules the next read.
func (m *Membership) evaluate(now time.Time) {
	list := &m.seedList
	ready := m.readyHere()
	list.rank = slices.Index(ready[:min(2, len(ready))], m.self)
	if keeper := list.rank >= 0; keeper != list.announced {
		list.announced = keeper
		m.act(KeeperChanged{Keeper: keeper})
	}
	if list.rank < 0 {
		list.nextRead = time.Time{}
		return
	}
	want := m.encodeSeeds(ready[:min(seedCount, len(ready))])
	if bytes.Equal(want, list.want) && !list.nextRead.IsZero() {
		return
	}
	list.want = want
	due := list.lastWrite.Add(m.opt.SeedWriteInterval)
	if due.Before(now) {
		due = now
	}
	// The second keeper waits one write interval longer, so that it usually finds
	// the object up to date.
	due = due.Add(time.Duration(list.rank) * m.opt.SeedWriteInterval).Add(m.jitter(2*time.Second, 0, 1))
	if list.nextRead.IsZero() || due.Before(list.nextRead) {
		list.nextRead = due
	}
}

// readyHere returns the ready members of this data centre, sorted by name.
func (m *Membership) readyHere() []*entry {
	var out []*entry
	for _, e := range m.entries {
		if e.effective == dogwoodford.StateReady && e.rec.DataCentre == m.self.rec.DataCentre {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, compareNames)
	return out
}

func (m *Membership) encodeSeeds(es []*entry) []byte {
	seeds := make([]Seed, 0, len(es))
	for _, e := range es {
		seeds = append(seeds, Seed{Node: e.rec.Node, Peer: e.rec.Peer})
	}
	b, err := json.Marshal(seeds)
	if err != nil {
		panic("dogmember: encode seeds: " + err.Error())
	}
	return b
}

// parseSeeds returns the seeds in an object, none if it is malformed: a joining
// node then asks other peers, and the keepers rewrite the object.
func parseSeeds(value []byte) []Seed {
	var seeds []Seed
	if json.Unmarshal(value, &seeds) != nil {
		return nil
	}
	return seeds[:min(len(seeds), 4*seedCount)]
}

func (m *Membership) onSeedsRead(now time.Time, ev SeedsRead) {
	if ev.Prefix == seedPrefix {
		m.onJoinSeedsRead(now, ev)
		return
	}
	list := &m.seedList
	list.busy = false
	if ev.Err != nil {
		list.nextRead = now.Add(m.jitter(m.opt.SeedWriteInterval, 1, 2))
		return
	}
	var obj dogwoodford.Object
	for _, o := range ev.Objects {
		if o.Name == m.objectName() {
			obj = o
		}
	}
	for _, sd := range parseSeeds(obj.Value) {
		m.addSeed(now, sd.Peer, false)
	}
	list.value = obj.Value
	if list.rank < 0 || bytes.Equal(list.value, list.want) {
		return
	}
	list.busy = true
	list.lastWrite = now
	m.act(WriteSeeds{Name: m.objectName(), Expected: obj.Version, Value: list.want})
}

func (m *Membership) onSeedsWritten(now time.Time, ev SeedsWritten) {
	list := &m.seedList
	if list.bootstrapping {
		m.onBootstrapWritten(now, ev)
		return
	}
	list.busy = false
	if ev.Err != nil {
		list.nextRead = now.Add(m.jitter(m.opt.SeedWriteInterval, 1, 2))
	}
}
