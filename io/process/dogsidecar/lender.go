package dogsidecar

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"dogwoodford/core/process/dogfleet"
	"dogwoodford/io/process/doglog"
)

const (
	// lenderProbeInterval is the interval between two probes of a failed node. All
	// nodes find it again within dogquota.SettleTime of its start.
	lenderProbeInterval = time.Second
	// maxLenderProbes bounds the probes in progress. They open a connection each.
	maxLenderProbes = 32
	// sweepInterval is the least time between two probes of all nodes of one data
	// centre.
	sweepInterval = 5 * time.Second
)

// lenderLiveness knows which nodes are not alive. Nodes that do not accept requests, as
// their targets are away, lend nevertheless; dogfleet counts them as unreachable. Nodes are
// probed when there is doubt. It is safe for concurrent use.
type lenderLiveness struct {
	peers      *peers
	log        *logger
	probes     chan struct{} // Holds a value for each probe in progress.
	done       chan struct{} // Closed when the node stops.
	generation atomic.Uint64
	failures   atomic.Int64 // Number of entries of failed.

	mu      sync.Mutex
	probing map[string]bool
	failed  map[string]bool // By node: whether it does not respond at all.
	swept   map[string]time.Time
}

func newLenderLiveness(p *peers, log *logger) *lenderLiveness {
	return &lenderLiveness{
		peers: p, log: log, probes: make(chan struct{}, maxLenderProbes), done: make(chan struct{}),
		probing: make(map[string]bool), failed: make(map[string]bool), swept: make(map[string]time.Time),
	}
}

// current returns a number that changes with the result of status.
func (l *lenderLiveness) current() uint64 { return l.generation.Load() }

// status reports whether a node is alive, and whether it does not respond at all.
func (l *lenderLiveness) status(name string) (alive, silent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	silent, failed := l.failed[name]
	return !failed, silent
}

// heard records that a node has sent a message.
func (l *lenderLiveness) heard(name string) {
	if l.failures.Load() > 0 {
		l.record(name, true, false)
	}
}

// doubt probes a node in the background until it is alive or its entry is removed.
func (l *lenderLiveness) doubt(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.probing[name] {
		return
	}
	l.probing[name] = true
	go l.watch(name)
}

func (l *lenderLiveness) watch(name string) {
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.probing, name)
	}()
	for {
		e, known := l.peers.state.knownEntry(name)
		if !known {
			l.record(name, true, false)
			return
		}
		alive, silent := l.probe(e)
		l.record(name, alive, silent)
		if alive {
			return
		}
		if silent {
			l.sweep(e.DataCentre)
		}
		select {
		case <-l.done:
			return
		case <-time.After(lenderProbeInterval):
		}
	}
}

// sweep probes all nodes of a data centre that has a silent one, because the whole data
// centre may be partitioned from this node. The share of the rate that a node lends
// depends on it.
func (l *lenderLiveness) sweep(dataCentre string) {
	l.mu.Lock()
	now := time.Now()
	due := now.Sub(l.swept[dataCentre]) >= sweepInterval
	if due {
		l.swept[dataCentre] = now
	}
	l.mu.Unlock()
	if !due {
		return
	}
	for _, m := range l.peers.state.members() {
		if m.DataCentre == dataCentre && m.Node != l.peers.state.settings.Node {
			l.doubt(m.Node)
		}
	}
}

// probe reports whether a node answers in any way, and if not, whether it does not respond
// at all. One packet may be lost, so that it tries twice in that case.
func (l *lenderLiveness) probe(e dogfleet.Entry) (alive, silent bool) {
	l.probes <- struct{}{}
	defer func() { <-l.probes }()
	for range 2 {
		ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
		err := l.peers.ping(ctx, e)
		cancel()
		if err == nil || errors.Is(err, errUnusableResponse) {
			return true, false
		}
		if !noResponse(err) {
			return false, false
		}
	}
	return false, true
}

func (l *lenderLiveness) record(name string, alive, silent bool) {
	l.mu.Lock()
	before, failed := l.failed[name]
	switch {
	case alive && failed:
		delete(l.failed, name)
	case !alive && (!failed || before != silent):
		l.failed[name] = silent
	default:
		l.mu.Unlock()
		return
	}
	l.failures.Store(int64(len(l.failed)))
	l.generation.Add(1)
	l.mu.Unlock()
	if alive == failed {
		logLender(l.log, name, !alive, silent)
	}
}

// logLender logs that a lender is lost or back.
func logLender(l *logger, name string, lost, silent bool) {
	if lost {
		l.event(doglog.LenderLost, slog.String("peer", name), slog.Bool("dark", silent))
		return
	}
	l.event(doglog.LenderBack, slog.String("peer", name))
}
