package dogsidecar

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"dogwoodford"
	"dogwoodford/core/version/dogtable"
	"dogwoodford/io/process/doglog"
	"dogwoodford/io/process/dogmetric"
)

// configs holds the newest configuration, from the store or from other nodes.
type configs struct {
	dialect Dialect
	log     *logger
	metrics *dogmetric.Set
	tables  *dogtable.Holder
	split   *dogtable.Split
	offers  sync.Mutex // Held while a configuration is put in force.
	// raw is the unparsed configuration in force without keys, for other nodes; nil if
	// there is none.
	raw     atomic.Pointer[[]byte]
	since   atomic.Pointer[time.Time] // When the configuration was put in force here.
	inForce []func(*dogtable.Table)   // Called with each table that is put in force, in order.
	keys    *freshness                // Nil if keys are trusted without a bound.
}

// offer puts a value in force if it is valid and newer than the configuration
// in force. from is its origin in log lines: "store" or the address of a node.
func (c *configs) offer(value []byte, from string) {
	if t, spec, ok := c.parse(value, from); ok {
		c.enforce(t, spec, value, from)
	}
}

// parse returns the table of a configuration, false if it is not valid.
func (c *configs) parse(value []byte, from string) (*dogtable.Table, dogtable.Spec, bool) {
	spec, err := c.dialect.ParseConfig(value)
	if err != nil {
		c.log.event(doglog.ConfigRejected, slog.String("from", from), doglog.Err(err))
		return nil, spec, false
	}
	t, err := dogtable.New(spec)
	if err != nil {
		c.log.event(doglog.ConfigRejected, slog.String("from", from), doglog.Err(err))
		return nil, spec, false
	}
	return t, spec, true
}

// enforce puts a valid configuration in force if it is newer than the one in force.
func (c *configs) enforce(t *dogtable.Table, spec dogtable.Spec, value []byte, from string) {
	c.offers.Lock()
	defer c.offers.Unlock()
	before := c.tables.Version()
	c.keys.adopt(t.Version()) // Before requests are routed by it.
	if !c.tables.Offer(t) {
		return
	}
	since := time.Now()
	c.since.Store(&since)
	c.split.Reset()
	c.publish(value, from)
	for _, f := range c.inForce {
		f(t)
	}
	c.log.event(doglog.ConfigInForce, slog.String("from", from), slog.Int64("before", before),
		slog.Int64("version", t.Version()), slog.Int("routes", len(spec.Routes)))
	c.reportProblems(t.Version(), spec.Problems)
}

// maxLoggedProblems bounds the log lines about one version of the configuration.
const maxLoggedProblems = 16

// reportProblems logs what the node does not understand of the configuration in
// force, and counts it in a metric.
func (c *configs) reportProblems(version int64, problems []dogtable.Problem) {
	c.metrics.Store(dogmetric.ConfigProblems, int64(len(problems)))
	for _, p := range problems[:min(len(problems), maxLoggedProblems)] {
		c.log.event(doglog.ConfigPartlyRead, slog.Int64("version", version), slog.String("route", p.Route),
			slog.Int("problems", len(problems)), doglog.Err(p.Err))
	}
}

// newWatcher returns a watcher of the configuration in the store. wait returns
// how long the next watch call waits for a change.
func (c *configs) newWatcher(store dogwoodford.Store, wait func() time.Duration) *kindWatcher {
	kind, _ := c.dialect.ConfigObject()
	v := &storeView{configs: c}
	w := &kindWatcher{
		pause: func() time.Duration { return configPause },
		kind:  kind, wait: wait, store: store, log: c.log, listed: v.listed, changed: v.changed,
	}
	if c.keys != nil {
		w.asked, w.answered = v.ask, v.answered
		// Calls are as far apart as those that would wait for the whole interval, unless the
		// time is short and the store can help.
		var interval time.Duration
		w.wait = func() time.Duration {
			if interval = wait(); !v.vouches() {
				return min(interval, freshWait)
			}
			return c.keys.storeWait(interval)
		}
		w.rest = func(ctx context.Context) { c.keys.rest(ctx, max(0, interval-freshWait), v.vouches()) }
	}
	return w
}

// publish makes a configuration available to other nodes, without the keys of callers.
func (c *configs) publish(value []byte, from string) {
	hidden, err := c.dialect.HideKeys(value)
	if err != nil {
		c.log.event(doglog.ConfigRejected, slog.String("from", from), doglog.Err(err))
		c.raw.Store(nil)
		return
	}
	c.raw.Store(&hidden)
}

// serve responds to other nodes with the configuration in force.
func (c *configs) serve(w http.ResponseWriter, _ *http.Request) {
	raw := c.raw.Load()
	if raw == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if _, err := w.Write(*raw); err != nil {
		c.log.event(doglog.ConfigPullFailed, doglog.Err(err))
	}
}

// pull fetches and offers the configuration of the node with the given peer
// address.
func (c *configs) pull(ctx context.Context, p *peers, addr string) {
	value, err := p.get(ctx, addr, configPath)
	if err == nil && !json.Valid(value) {
		err = fmt.Errorf("configuration of %d bytes is not valid JSON", len(value))
	}
	if err != nil {
		c.log.event(doglog.ConfigPullFailed, slog.String("peer", addr), doglog.Err(err))
		return
	}
	c.offer(value, addr)
}
