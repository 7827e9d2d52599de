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
	// seedCount is the number of members named in an object. It is constant, so
	// that the object changes no more often in a larger fleet.
	seedCount = 16
	// settle is the time after the join before a node acts as keeper: until
	// then it may not know the lower names.
	settle = 3 * time.Second
	// keepEval is the least time between evaluations of the keepers.
	keepEval = 500 * time.Millisecond
)

// keeping is the state of the upkeep of the members object.
type keeping struct {
	dirty     bool // Members changed since the last evaluation.
	evalAt    time.Time
	settleAt  time.Time
	rank      int  // 0 or 1 for the keepers, else -1.
	told      bool // KeeperChanged last told that this node is a keeper.
	want      []byte
	value     []byte // As last read or written.
	at        time.Time
	busy      bool
	founding  bool
	lastWrite time.Time
}

// ObjectName returns the name of the members object of a data centre.
func ObjectName(dataCentre string) string { return seedPrefix + dataCentre }

func (m *Membership) initKeeping(now time.Time) {
	m.keeping = keeping{rank: -1, lastWrite: now.Add(-m.opt.KeepEvery)}
}

func (m *Membership) tickKeeping(now time.Time) {
	k := &m.keeping
	if !m.syncing.joined || now.Before(k.settleAt) {
		return
	}
	if k.dirty && !now.Before(k.evalAt) {
		k.dirty = false
		k.evalAt = now.Add(keepEval)
		m.evaluate(now)
	}
	if k.rank < 0 || !m.opt.Platform || k.busy || k.at.IsZero() || now.Before(k.at) {
		return
	}
	k.busy = true
	k.at = now.Add(m.jitter(m.opt.CheckEvery, 0.8, 1.2))
	m.act(ReadSeeds{Prefix: m.objectName()})
}

// evaluate finds out whether this node is a keeper and what the object should
// hold.
func (m *Membership) evaluate(now time.Time) {
	k := &m.keeping
	ready := m.readyHere()
	k.rank = slices.Index(ready[:min(2, len(ready))], m.self)
	if keeper := k.rank >= 0; keeper != k.told {
		k.told = keeper
		m.act(KeeperChanged{Keeper: keeper})
	}
	if k.rank < 0 {
		k.at = time.Time{}
		return
	}
	want := m.seedsValue(ready[:min(seedCount, len(ready))])
	if bytes.Equal(want, k.want) && !k.at.IsZero() {
		return
	}
	k.want = want
	due := k.lastWrite.Add(m.opt.KeepEvery)
	if due.Before(now) {
		due = now
	}
	// The second keeper comes later and, as a rule, finds the object up to date.
	due = due.Add(time.Duration(k.rank) * m.opt.KeepEvery).Add(m.jitter(2*time.Second, 0, 1))
	if k.at.IsZero() || due.Before(k.at) {
		k.at = due
	}
}

// readyHere returns the ready members of this data centre by name.
func (m *Membership) readyHere() []*entry {
	var out []*entry
	for _, e := range m.entries {
		if e.held == dogwoodford.Ready && e.rec.DataCentre == m.self.rec.DataCentre {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, compareNames)
	return out
}

func (m *Membership) seedsValue(es []*entry) []byte {
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

// parseSeeds returns the seeds in an object, none if it is malformed: whoever
// joins then asks others, and the keepers write it anew.
func parseSeeds(value []byte) []Seed {
	var seeds []Seed
	if json.Unmarshal(value, &seeds) != nil {
		return nil
	}
	return seeds[:min(len(seeds), 4*seedCount)]
}

func (m *Membership) onSeedsRead(now time.Time, ev SeedsRead) {
	if ev.Prefix == seedPrefix {
		m.joinRead(now, ev)
		return
	}
	k := &m.keeping
	k.busy = false
	if ev.Err != nil {
		k.at = now.Add(m.jitter(m.opt.KeepEvery, 1, 2))
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
	k.value = obj.Value
	if k.rank < 0 || bytes.Equal(k.value, k.want) {
		return
	}
	k.busy = true
	k.lastWrite = now
	m.act(WriteSeeds{Name: m.objectName(), Expected: obj.Version, Value: k.want})
}

func (m *Membership) onSeedsWritten(now time.Time, ev SeedsWritten) {
	k := &m.keeping
	if k.founding {
		m.founded(now, ev)
		return
	}
	k.busy = false
	if ev.Err != nil {
		k.at = now.Add(m.jitter(m.opt.KeepEvery, 1, 2))
	}
}
