package dogconfig

import (
	"errors"
	"slices"
	"strings"
	"time"

	"dogwoodford"
)

const (
	// listEvery is the time between lists by a watcher. They find what the
	// watch cannot tell: objects that a restore removed.
	listEvery = 60 * time.Second
	// writeWait is the longest wait before a write-back. All watchers see the
	// old object; the jitter lets one write and the others find it written.
	writeWait = 4 * time.Second
	// retryWait is the least wait before a failed write-back is tried again.
	retryWait = 5 * time.Second
)

type platform struct {
	watcher bool
	listAt  time.Time
	behind  map[string]*behind
}

// behind is a customer for whom the platform holds less than what is in force.
type behind struct {
	version int64     // Version of the platform's object, 0 if it has none.
	at      time.Time // When to write back.
	writing bool
	report  *Report // Not yet made: an answer that was only late is followed by a newer one.
}

func (c *Config[C]) onWatcher(now time.Time, watcher bool) {
	p := &c.platform
	if p.watcher == watcher {
		return
	}
	p.watcher = watcher
	p.behind = map[string]*behind{}
	p.listAt = now
	c.act(Watch{On: watcher})
}

func (c *Config[C]) tickPlatform(now time.Time) {
	p := &c.platform
	if !p.watcher {
		return
	}
	if !now.Before(p.listAt) {
		p.listAt = now.Add(time.Duration(float64(listEvery) * (0.8 + 0.4*c.opt.Rand.Float64())))
		c.act(List{})
	}
	var names []string
	for name, b := range p.behind {
		if !b.writing && !now.Before(b.at) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		b := p.behind[name]
		b.writing = true
		if b.report != nil {
			c.act(*b.report)
			b.report = nil
		}
		c.act(WriteBack{Customer: name, Expected: b.version, Text: c.snapshot[name].Text})
	}
}

// onObject considers an object of the platform.
func (c *Config[C]) onObject(now time.Time, obj dogwoodford.Object) {
	customer, ok := strings.CutPrefix(obj.Name, objectPrefix)
	if !ok || customer == "" {
		return
	}
	if obj.Version == 0 {
		c.lag(now, customer, 0, Report{Kind: Missing, Customer: customer, Source: "platform"})
		return
	}
	got, valid := c.offer(now, customer, "platform", obj.Value)
	have, known := c.snapshot[customer]
	switch {
	case !known:
	case !valid:
		// Operators see the report and decide; a text that does not parse may
		// be meant for newer nodes.
		delete(c.platform.behind, customer)
	case got.Less(have.Generation):
		kind := Stale
		if got.Number == have.Number {
			kind = Conflict
		}
		c.lag(now, customer, obj.Version, Report{Kind: kind, Customer: customer, Got: got, Source: "platform"})
	default:
		delete(c.platform.behind, customer)
	}
}

// lag notes that the platform holds less than what is in force.
func (c *Config[C]) lag(now time.Time, customer string, version int64, r Report) {
	have, known := c.snapshot[customer]
	if !known {
		return
	}
	b := c.platform.behind[customer]
	if b == nil {
		if !c.platform.watcher {
			return
		}
		b = &behind{at: now.Add(writeWait/4 + c.spread(writeWait))}
		// A conflict was reported when the text was read.
		if r.Have = have.Generation; r.Kind != Conflict {
			b.report = &r
		}
		c.platform.behind[customer] = b
	}
	b.version = version
}

func (c *Config[C]) spread(d time.Duration) time.Duration {
	return time.Duration(float64(d) * c.opt.Rand.Float64())
}

func (c *Config[C]) onListed(now time.Time, objects []dogwoodford.Object) {
	found := map[string]bool{}
	for _, obj := range objects {
		found[obj.Name] = true
		c.onObject(now, obj)
	}
	for _, g := range c.Generations() {
		if !found[ObjectName(g.Customer)] {
			c.onObject(now, dogwoodford.Object{Name: ObjectName(g.Customer)})
		}
	}
}

func (c *Config[C]) onWrittenBack(now time.Time, ev WrittenBack) {
	b := c.platform.behind[ev.Customer]
	if b == nil {
		return
	}
	if ev.Err == nil {
		delete(c.platform.behind, ev.Customer)
		return
	}
	b.writing = false
	b.at = now.Add(retryWait + c.spread(writeWait))
	if errors.Is(ev.Err, dogwoodford.ErrConflict) {
		// Another wrote. The driver reads the object; if it is still behind,
		// the note is made anew with its version.
		delete(c.platform.behind, ev.Customer)
	}
}

// raised is called when a newer generation came into force: a write-back of the
// older one would only be followed by another.
func (c *Config[C]) raised(now time.Time, g Generation) {
	if b := c.platform.behind[g.Customer]; b != nil {
		b.at = now.Add(c.spread(writeWait))
	}
}
