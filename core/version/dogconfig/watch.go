package dogconfig

import (
	"errors"
	"slices"
	"strings"
	"time"

	"dogwoodford"
)

const (
	// listInterval is the time between two lists by a watcher, with a jitter of
	// ±20 %. A list finds the objects that a restore removed, which the watch does
	// not report.
	listInterval = 60 * time.Second
	// writeBackDelay is the maximum of the random part of the delay before a
	// write-back. All watchers see the old object; with the jitter, one of them
	// writes first and the others find the object written.
	writeBackDelay = 4 * time.Second
	// writeBackRetryDelay is the minimum delay before a failed write-back is retried.
	writeBackRetryDelay = 5 * time.Second
)

type platform struct {
	watcher  bool
	nextList time.Time
	outdated map[string]*outdated
}

// outdated is a customer whose object in the platform is missing or holds a lower
// generation than the one in force, with its scheduled write-back.
type outdated struct {
	version int64     // Version of the platform's object, 0 if it does not exist.
	due     time.Time // When to write back.
	writing bool
	report  *Report // Delayed until the write-back, as a late answer is soon followed by a newer one.
}

func (c *Config[C]) onWatcher(now time.Time, watcher bool) {
	p := &c.platform
	if p.watcher == watcher {
		return
	}
	p.watcher = watcher
	p.outdated = map[string]*outdated{}
	p.nextList = now
	c.emit(Watch{On: watcher})
}

func (c *Config[C]) tickPlatform(now time.Time) {
	p := &c.platform
	if !p.watcher {
		return
	}
	if !now.Before(p.nextList) {
		p.nextList = now.Add(time.Duration(float64(listInterval) * (0.8 + 0.4*c.opt.Rand.Float64())))
		c.emit(List{})
	}
	var names []string
	for name, b := range p.outdated {
		if !b.writing && !now.Before(b.due) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		b := p.outdated[name]
		b.writing = true
		if b.report != nil {
			c.emit(*b.report)
			b.report = nil
		}
		c.emit(WriteBack{Customer: name, Expected: b.version, Text: c.snapshot[name].Text})
	}
}

// onObject processes an object read from the platform; version 0 means that it does
// not exist.
func (c *Config[C]) onObject(now time.Time, obj dogwoodford.Object) {
	customer, ok := strings.CutPrefix(obj.Name, objectPrefix)
	if !ok || customer == "" {
		return
	}
	if obj.Version == 0 {
		c.scheduleWriteBack(now, customer, 0, Report{Kind: Missing, Customer: customer, Source: "platform"})
		return
	}
	got, valid := c.offer(now, customer, "platform", obj.Value)
	have, known := c.snapshot[customer]
	switch {
	case !known:
	case !valid:
		// Do not overwrite a text that does not parse: it may be meant for newer
		// nodes. Operators see the report and decide.
		delete(c.platform.outdated, customer)
	case got.Less(have.Generation):
		kind := Stale
		if got.Number == have.Number {
			kind = Conflict
		}
		c.scheduleWriteBack(now, customer, obj.Version, Report{Kind: kind, Customer: customer, Got: got, Source: "platform"})
	default:
		delete(c.platform.outdated, customer)
	}
}

// scheduleWriteBack schedules the write-back of the generation in force, and the
// report r, for a customer whose object in the platform is outdated or missing.
func (c *Config[C]) scheduleWriteBack(now time.Time, customer string, version int64, r Report) {
	have, known := c.snapshot[customer]
	if !known {
		return
	}
	b := c.platform.outdated[customer]
	if b == nil {
		if !c.platform.watcher {
			return
		}
		b = &outdated{due: now.Add(writeBackDelay/4 + c.jitter(writeBackDelay))}
		// A conflict has already been reported, when the text was read.
		if r.Have = have.Generation; r.Kind != Conflict {
			b.report = &r
		}
		c.platform.outdated[customer] = b
	}
	b.version = version
}

func (c *Config[C]) jitter(d time.Duration) time.Duration {
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
	b := c.platform.outdated[ev.Customer]
	if b == nil {
		return
	}
	if ev.Err == nil {
		delete(c.platform.outdated, ev.Customer)
		return
	}
	b.writing = false
	b.due = now.Add(writeBackRetryDelay + c.jitter(writeBackDelay))
	if errors.Is(ev.Err, dogwoodford.ErrConflict) {
		// Another node wrote the object. The driver reads it; if it is still
		// outdated, another write-back is scheduled with its version.
		delete(c.platform.outdated, ev.Customer)
	}
}

// deferWriteBack reschedules the customer's write-back, if any, when a newer
// generation came into force: writing the older one back would only require
// another write.
func (c *Config[C]) deferWriteBack(now time.Time, g Generation) {
	if b := c.platform.outdated[g.Customer]; b != nil {
		b.due = now.Add(c.jitter(writeBackDelay))
	}
}
