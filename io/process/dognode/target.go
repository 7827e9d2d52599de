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
	// healthInterval is the interval between readings of the health endpoint. It
	// is well below the few seconds within which a leaving target must stop
	// receiving work.
	healthInterval = 250 * time.Millisecond
	// healthTimeout bounds one reading of the health or load endpoint.
	healthTimeout = time.Second
	// loadInterval is the interval between readings of the load endpoint.
	loadInterval = time.Second
	// trafficGrace is how long after a completed request a failing health
	// endpoint is ignored, as the endpoint may fail while the target serves.
	trafficGrace = 2 * time.Second
	// maxEndpointBytes bounds the answer that is read from the health and load
	// endpoints.
	maxEndpointBytes = 64 << 10
)

// healthStatus is the result of one reading of the health endpoint.
type healthStatus int

const (
	indeterminate healthStatus = iota // No usable answer.
	healthy
	starting
	draining
	notListening // Connection refused: nothing listens at the address.
)

var errLoad = eris.New("load endpoint gives no positive number of slots")

// targetMonitor monitors the health and the slots of the node's target.
type targetMonitor struct {
	n             *node
	client        *http.Client
	checkRequests chan chan struct{} // Requests for an immediate check, which closes the channel.

	state        dogwoodford.State // Owned by Serve, as are slots and lastLoadRead.
	slots        int
	lastLoadRead time.Time

	lastCompleted atomic.Int64 // Time of the last completed request, Unix nanoseconds.
}

func newTargetMonitor(n *node) *targetMonitor {
	return &targetMonitor{
		n: n, client: &http.Client{Timeout: healthTimeout}, checkRequests: make(chan chan struct{}),
		state: dogwoodford.StateStarting, slots: n.settings.Target.Slots,
	}
}

// String names the service in the supervisor's events.
func (t *targetMonitor) String() string { return "target" }

// Serve reads the endpoints of the target until ctx ends.
func (t *targetMonitor) Serve(ctx context.Context) error {
	tick := time.NewTicker(healthInterval)
	defer tick.Stop()
	for {
		t.check(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		case done := <-t.checkRequests:
			t.check(ctx)
			close(done)
		}
	}
}

// checkNow reads the health endpoint at once and returns when it has been read
// or the node has stopped.
func (t *targetMonitor) checkNow() {
	done := make(chan struct{})
	select {
	case t.checkRequests <- done:
	case <-t.n.control.stopped:
		return
	}
	select {
	case <-done:
	case <-t.n.control.stopped:
	}
}

// recordCompletion records that the target completed a request at the given
// time.
func (t *targetMonitor) recordCompletion(now time.Time) { t.lastCompleted.Store(now.UnixNano()) }

func (t *targetMonitor) check(ctx context.Context) {
	now := time.Now()
	if now.Sub(t.lastLoadRead) >= loadInterval {
		t.lastLoadRead = now
		t.readLoad(ctx)
	}
	was := t.state
	t.state = t.nextState(now, t.health(ctx))
	if was == dogwoodford.StateReady && t.state == dogwoodford.StateStarting {
		// It ended without a drain, or a new process has replaced it.
		t.n.suspectGate.targetDied()
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

// nextState returns the state that follows from a reading of the health endpoint.
func (t *targetMonitor) nextState(now time.Time, h healthStatus) dogwoodford.State {
	switch h {
	case healthy:
		return dogwoodford.StateReady
	case draining:
		return dogwoodford.StateDraining
	case notListening:
		if t.state == dogwoodford.StateDraining {
			return dogwoodford.StateDraining // It ended after its drain.
		}
		return dogwoodford.StateStarting
	}
	recent := now.UnixNano()-t.lastCompleted.Load() < int64(trafficGrace)
	if t.state == dogwoodford.StateReady && recent && h == indeterminate {
		return dogwoodford.StateReady
	}
	if t.state == dogwoodford.StateReady && h == indeterminate {
		// Out of service, but no sign that the process has ended.
		return dogwoodford.StateDraining
	}
	if h == starting {
		return dogwoodford.StateStarting
	}
	return t.state
}

func (t *targetMonitor) logState() {
	ev := doglog.TargetHealthFailed
	switch t.state {
	case dogwoodford.StateReady:
		ev = doglog.TargetReady
	case dogwoodford.StateDraining:
		ev = doglog.TargetDraining
	}
	t.n.log(ev, attr("state", t.state.String()))
}

func (t *targetMonitor) health(ctx context.Context) healthStatus {
	status, body, err := t.get(ctx, t.n.settings.Target.HealthPath)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return notListening
	case err != nil:
		return indeterminate
	case status == http.StatusOK:
		return healthy
	case strings.Contains(string(body), "draining"):
		return draining
	case strings.Contains(string(body), "starting"):
		return starting
	}
	return indeterminate
}

func (t *targetMonitor) readLoad(ctx context.Context) {
	var load struct {
		Slots int `json:"slots"`
	}
	status, body, err := t.get(ctx, t.n.settings.Target.LoadPath)
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

func (t *targetMonitor) get(ctx context.Context, path string) (int, []byte, error) {
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
