package dognode

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"dogwoodford"
	"dogwoodford/io/process/doglog"
)

const (
	// healthEvery is well below the few seconds in which a leaving target must
	// stop receiving work.
	healthEvery = 250 * time.Millisecond
	// healthTimeout bounds one reading of the health or load endpoint.
	healthTimeout = time.Second
	// loadEvery is the interval between readings of the load endpoint.
	loadEvery = time.Second
	// trustTraffic is the time for which a completed request counts for more
	// than a failing health endpoint, as the endpoint may mislead.
	trustTraffic = 2 * time.Second
	// maxEndpointBytes bounds what is read of the health and load endpoints.
	maxEndpointBytes = 64 << 10
)

// condition is what the health endpoint says.
type condition int

const (
	unclear condition = iota // No usable answer.
	healthy
	starting
	draining
	gone // Nothing listens at the address.
)

var errLoad = eris.New("load endpoint gives no positive number of slots")

// targetWatch follows the state of the target beside the node.
type targetWatch struct {
	n      *node
	client *http.Client
	now    chan chan struct{} // Asks for a check at once.

	state    dogwoodford.State // Owned by Serve, as all below.
	slots    int
	loadRead time.Time

	lastDone atomic.Int64 // Time of the last completed request, Unix nanoseconds.
}

func newTargetWatch(n *node) *targetWatch {
	return &targetWatch{
		n: n, client: &http.Client{Timeout: healthTimeout}, now: make(chan chan struct{}),
		state: dogwoodford.Starting, slots: n.settings.Target.Slots,
	}
}

// String names the service in the supervisor's events.
func (t *targetWatch) String() string { return "target" }

// Serve reads the endpoints of the target until ctx ends.
func (t *targetWatch) Serve(ctx context.Context) error {
	tick := time.NewTicker(healthEvery)
	defer tick.Stop()
	for {
		t.check(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		case done := <-t.now:
			t.check(ctx)
			close(done)
		}
	}
}

// checkNow reads the health endpoint at once and returns when it has been read
// or the node has stopped.
func (t *targetWatch) checkNow() {
	done := make(chan struct{})
	select {
	case t.now <- done:
	case <-t.n.control.ended:
		return
	}
	select {
	case <-done:
	case <-t.n.control.ended:
	}
}

// completed records that the target answered a request.
func (t *targetWatch) completed(now time.Time) { t.lastDone.Store(now.UnixNano()) }

func (t *targetWatch) check(ctx context.Context) {
	now := time.Now()
	if now.Sub(t.loadRead) >= loadEvery {
		t.loadRead = now
		t.readLoad(ctx)
	}
	was := t.state
	t.state = t.next(now, t.health(ctx))
	if was == dogwoodford.Ready && t.state == dogwoodford.Starting {
		// It ended without a drain, or a new process has taken its place.
		t.n.suspectGate.died()
	}
	if was != t.state {
		t.logState()
	}
	state, slots := t.state, t.slots
	t.n.gate.SetSlots(slots)
	t.n.control.post(func(now time.Time) {
		if !t.n.drain.begun() {
			t.n.control.setState(now, state, slots)
		}
	})
}

// next returns the state that follows from a reading of the health endpoint.
func (t *targetWatch) next(now time.Time, h condition) dogwoodford.State {
	switch h {
	case healthy:
		return dogwoodford.Ready
	case draining:
		return dogwoodford.Draining
	case gone:
		if t.state == dogwoodford.Draining {
			return dogwoodford.Draining // It has ended as planned.
		}
		return dogwoodford.Starting
	}
	recent := now.UnixNano()-t.lastDone.Load() < int64(trustTraffic)
	if t.state == dogwoodford.Ready && recent && h == unclear {
		return dogwoodford.Ready
	}
	if t.state == dogwoodford.Ready && h == unclear {
		// Out of service, but no sign that the process has ended.
		return dogwoodford.Draining
	}
	if h == starting {
		return dogwoodford.Starting
	}
	return t.state
}

func (t *targetWatch) logState() {
	ev := doglog.TargetHealthFailed
	switch t.state {
	case dogwoodford.Ready:
		ev = doglog.TargetReady
	case dogwoodford.Draining:
		ev = doglog.TargetDraining
	}
	t.n.log(ev, attr("state", t.state.String()))
}

func (t *targetWatch) health(ctx context.Context) condition {
	status, body, err := t.get(ctx, t.n.settings.Target.Health)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return gone
	case err != nil:
		return unclear
	case status == http.StatusOK:
		return healthy
	case strings.Contains(string(body), "draining"):
		return draining
	case strings.Contains(string(body), "starting"):
		return starting
	}
	return unclear
}

func (t *targetWatch) readLoad(ctx context.Context) {
	var load struct {
		Slots int `json:"slots"`
	}
	status, body, err := t.get(ctx, t.n.settings.Target.Load)
	if err == nil && status == http.StatusOK {
		err = json.Unmarshal(body, &load)
	}
	if err == nil && load.Slots <= 0 {
		err = errLoad
	}
	if err != nil {
		return // The slots of the settings or of the last reading remain.
	}
	if load.Slots != t.slots {
		t.n.log(doglog.SlotsChanged, attr("slots", load.Slots))
	}
	t.slots = load.Slots
}

func (t *targetWatch) get(ctx context.Context, path string) (int, []byte, error) {
	url := "http://" + t.n.settings.Target.Address + path
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, nil, fmt.Errorf("read %s: %w", path, err)
	}
	resp, err := t.client.Do(req)
	if err != nil {
		return 0, nil, fmt.Errorf("read %s: %w", path, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxEndpointBytes))
	if err != nil {
		return 0, nil, fmt.Errorf("read %s: %w", path, err)
	}
	return resp.StatusCode, body, nil
}
