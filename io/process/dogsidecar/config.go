package dogsidecar

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"dogwoodford"
	"dogwoodford/core/version/dogtable"
	"dogwoodford/io/process/doglog"
)

// configs keeps the newest configuration, from the store or from other nodes.
type configs struct {
	dialect Dialect
	log     *logger
	tables  *dogtable.Holder
	split   *dogtable.Split
	raw     atomic.Pointer[[]byte] // Value of the version in force, for other nodes.
}

// offer puts a value in force if it is a newer configuration. from says where
// it came from.
func (c *configs) offer(value []byte, from string) {
	spec, err := c.dialect.ParseConfig(value)
	if err != nil {
		c.log.event(doglog.ConfigRejected, slog.String("from", from), doglog.Err(err))
		return
	}
	t, err := dogtable.New(spec)
	if err != nil {
		c.log.event(doglog.ConfigRejected, slog.String("from", from), doglog.Err(err))
		return
	}
	before := c.tables.Version()
	if !c.tables.Offer(t) {
		return
	}
	c.split.Reset()
	c.raw.Store(&value)
	c.log.event(doglog.ConfigInForce, slog.String("from", from), slog.Int64("before", before),
		slog.Int64("version", t.Version()), slog.Int("routes", len(spec.Routes)))
}

// watch follows the configuration in the store. wait says how long each watch
// waits.
func (c *configs) watch(store dogwoodford.Store, wait func() time.Duration) *kindWatch {
	kind, name := c.dialect.ConfigObject()
	take := func(o dogwoodford.Object) {
		if o.Name == name {
			c.offer(o.Value, "store")
		}
	}
	return &kindWatch{
		pause: func() time.Duration { return configPause },
		kind:  kind, wait: wait, store: store, log: c.log,
		listed: func(objects []dogwoodford.Object) {
			for _, o := range objects {
				take(o)
			}
		},
		changed: func(ch dogwoodford.Change) {
			// The configuration in force stays so if the object is removed.
			if !ch.Deleted {
				take(ch.Object)
			}
		},
	}
}

// serve answers other nodes with the value in force.
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

// pull takes the configuration of the node with the given peer address.
func (c *configs) pull(ctx context.Context, p *peers, addr string) {
	value, err := p.get(ctx, addr, configPath)
	if err == nil && !json.Valid(value) {
		err = fmt.Errorf("configuration of %d bytes is not whole", len(value))
	}
	if err != nil {
		c.log.event(doglog.ConfigPullFailed, slog.String("peer", addr), doglog.Err(err))
		return
	}
	c.offer(value, addr)
}
