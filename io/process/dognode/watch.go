package dognode

import (
	"context"
	"encoding/json"
	"strings"
	"sync/atomic"
	"time"

	"dogwoodford"
	"dogwoodford/core/process/dogmember"
	"dogwoodford/core/version/dogconfig"
	"dogwoodford/io/process/doglog"
	"dogwoodford/io/process/dogserve"
)

const drainPrefix = "drain/"

// watchRetryDelay is the delay after a watch that failed. The platform client
// itself backs off while the platform is down.
const watchRetryDelay = time.Second

// prefixWatch watches the platform's objects under one prefix while this node is
// a watcher of its data centre.
type prefixWatch struct {
	n      *node
	prefix string
	on     atomic.Bool
	wake   chan struct{}
	cancel atomic.Pointer[context.CancelFunc]
	handle func(now time.Time, obj dogwoodford.Object)
}

func newPrefixWatch(n *node, prefix string, handle func(time.Time, dogwoodford.Object)) *prefixWatch {
	return &prefixWatch{n: n, prefix: prefix, wake: make(chan struct{}, 1), handle: handle}
}

// String names the service in the supervisor's events.
func (w *prefixWatch) String() string { return "watch " + w.prefix }

// set turns the watch on or off. It does not block.
func (w *prefixWatch) set(on bool) {
	w.on.Store(on)
	if cancel := w.cancel.Load(); cancel != nil && !on {
		(*cancel)()
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Serve runs the watch, while it is on, until ctx ends.
func (w *prefixWatch) Serve(ctx context.Context) error {
	for {
		if !w.on.Load() {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-w.wake:
			}
			continue
		}
		w.follow(ctx)
		if err := ctx.Err(); err != nil {
			return err
		}
	}
}

// follow reports all objects, then each change, until the watch fails or is
// turned off.
func (w *prefixWatch) follow(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w.cancel.Store(&cancel)
	var after int64
	for w.on.Load() && ctx.Err() == nil {
		objs, next, err := w.n.platform.Watch(ctx, w.prefix, after)
		if err != nil {
			if ctx.Err() == nil {
				w.n.limitedLogger.Log(ctx, doglog.WatchFailed, attr("prefix", w.prefix), doglog.Err(err))
				dogserve.Sleep(ctx, watchRetryDelay)
			}
			return
		}
		after = next
		w.n.control.post(func(now time.Time) {
			for _, o := range objs {
				w.handle(now, o)
			}
		})
	}
}

func (c *control) setWatch(on bool) {
	c.n.contractWatch.set(on)
	c.n.drainWatch.set(on)
}

func (c *control) contractSeen(now time.Time, obj dogwoodford.Object) {
	c.onConfig(now, dogconfig.ObjectSeen{Object: obj})
}

func (c *control) drainSeen(now time.Time, obj dogwoodford.Object) {
	node, ok := strings.CutPrefix(obj.Name, drainPrefix)
	if !ok {
		return
	}
	var mark dogmember.DrainMark
	if obj.Version != 0 { // A deleted mark counts as withdrawn.
		if err := json.Unmarshal(obj.Value, &mark); err != nil {
			c.n.log(doglog.ObjectInvalid, attr("object", obj.Name), doglog.Err(err))
			return
		}
	}
	c.onMember(now, dogmember.DrainMarkRead{Node: node, Mark: mark})
}
