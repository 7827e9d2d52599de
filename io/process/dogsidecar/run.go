package dogsidecar

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/thejerf/suture/v4"

	"dogwoodford"
	"dogwoodford/core/process/dogadmit"
	"dogwoodford/core/process/dogpressure"
	"dogwoodford/core/request/dogroute"
	"dogwoodford/core/version/dogtable"
	"dogwoodford/io/connection/dogconn"
	"dogwoodford/io/process/doglog"
	"dogwoodford/io/process/dogmetric"
	"dogwoodford/io/process/dogserve"
	"dogwoodford/io/request/doggate"
	"dogwoodford/io/request/dogrelay"
)

const (
	// readyFor is the time after the stop signal in which callers that have
	// not yet learnt of it still come. They stop after two missed answers, one
	// a second.
	readyFor = 2500 * time.Millisecond
	// entryFor is the time after the stop signal in which the entry still takes
	// requests. Callers may keep coming as long as the process listens, and the
	// rest of the grace is for those in progress.
	entryFor = 3 * time.Second
	// guardFor is the time after the stop signal in which the guard still
	// takes requests: as long as callers come to the entry, since the target
	// is out of use from then until the node has started again. What the guard
	// takes ends well within the grace.
	guardFor = readyFor
	// stopMargin is the part of the grace that is left for the end of the
	// process.
	stopMargin = 600 * time.Millisecond
	// stopPoll is the interval at which a stopping node looks for requests in
	// progress.
	stopPoll = 20 * time.Millisecond
	// partTimeout bounds the end of a supervised part.
	partTimeout = 200 * time.Millisecond
	// memoryShare is the part of the memory that the heap may use before the
	// collector runs harder. The rest is for stacks, the kernel's buffers and
	// the program itself.
	memoryShare = 0.6
	// requestBytes is the memory that is set aside for a request in progress:
	// its goroutines and the buffers of up to four connections, twice, as the
	// collector lets as much garbage gather.
	requestBytes = 160 << 10
	// firstSlots stands for the target's slots until its first heartbeat;
	// nothing is sent before that.
	firstSlots = 16
)

const (
	// dialTimeout bounds a connection to another node. Round trips take tens
	// of milliseconds; an opening packet that is dropped is sent again after a
	// second only, so that another node is the better choice by then.
	dialTimeout = 300 * time.Millisecond
	// unacknowledged is the time after which a node that acknowledges nothing
	// counts as gone. It bears one retransmission of a lost packet.
	unacknowledged = 1000 * time.Millisecond
	// idlePeers and idleTarget end unused connections before the other side
	// does.
	idlePeers  = 60 * time.Second
	idleTarget = 8 * time.Second
	// maxConns bounds the connections to one address.
	maxConns = 512
)

// node is one process with all its parts.
type node struct {
	settings Settings
	log      *logger
	metrics  *dogmetric.Set
	state    *state
	configs  *configs
	peers    *peers
	announce *announcer
	relay    *dogrelay.Handlers
	dialect  Dialect
	store    dogwoodford.Store
	inFlight atomic.Int64
	again    Reload
	servers  []*dogserve.Server
}

// Run runs a node until ctx ends and the requests in progress are answered.
// Log lines go to out.
func Run(ctx context.Context, settings Settings, dialect Dialect, store dogwoodford.Store, again Reload, out io.Writer) error {
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryBytes)))
	}
	n := newNode(settings, dialect, store, out)
	n.again = again
	defer n.log.close()
	if err := n.listen(); err != nil {
		n.log.event(doglog.ListenFailed, doglog.Err(err))
		return fmt.Errorf("start node %s: %w", settings.Node, err)
	}
	base, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	done := n.supervise(base)
	n.log.event(doglog.NodeStarted, slog.String("service", settings.Service),
		slog.String("data_centre", settings.DataCentre), slog.String("outbound", settings.Outbound))
	<-ctx.Done()
	n.stop(base)
	cancel()
	select {
	case <-done:
	case <-time.After(partTimeout):
	}
	n.log.event(doglog.NodeStopped, slog.Int64("in_progress", n.inFlight.Load()))
	return nil
}

func newNode(settings Settings, dialect Dialect, store dogwoodford.Store, out io.Writer) *node {
	n := &node{
		settings: settings, log: newLogger(out, settings.Node), metrics: dogmetric.NewSet(),
		dialect: dialect, store: store,
	}
	tables := new(dogtable.Holder)
	split := dogtable.NewSplit()
	n.state = newState(settings, n.log, tables.Version)
	n.configs = &configs{dialect: dialect, log: n.log, tables: tables, split: split}
	live := dogconn.Liveness{Unacknowledged: unacknowledged, Probe: unacknowledged}
	toPeers := dogconn.NewPeer(dogconn.Options{
		MaxConns: maxConns, IdleTimeout: idlePeers, DialTimeout: dialTimeout, Liveness: live,
	})
	// Open connections may have gone silent while new ones work, so questions
	// to nodes go over new ones.
	toAsk := dogconn.NewPeer(dogconn.Options{
		MaxConns: maxConns, IdleTimeout: time.Millisecond, DialTimeout: dialTimeout, Liveness: live,
	})
	n.peers = &peers{transport: toAsk, state: n.state, store: store, configs: n.configs, log: n.log}
	n.state.ask = n.peers.lives
	n.announce = &announcer{state: n.state, store: store, log: n.log}
	gate := doggate.NewGate(dogadmit.New(dogadmit.Options{Slots: firstSlots, Rand: newRand(), ExemptChildCalls: true}))
	n.state.slots = gate.SetSlots
	n.relay = dogrelay.New(dogrelay.Config{
		Headers: dialect.Headers(), Node: settings.Node, Service: settings.Service,
		DataCentre: settings.DataCentre, Peer: settings.Advertised, TargetAddress: settings.Target,
		Tables: tables, Split: split, Fleet: n.state, Local: n.state, Budget: n.state, Crashes: n.state, Gate: gate,
		Pressure: &pressure{table: dogpressure.New(dogpressure.Options{
			Rand: newRand(), UseMean: true, Refresh: cutoffRefresh, RetryByRefusalShare: true,
		})},
		Router: doggate.NewBalancer(dogroute.New(dogroute.Options{
			DataCentre: settings.DataCentre, SlowStart: slowStart, Rand: newRand(), Sample: routeSample,
		})),
		Peers: toPeers,
		Target: dogconn.NewTarget(dogconn.Options{
			MaxConns: maxConns, IdleTimeout: idleTarget, DialTimeout: dialTimeout, Liveness: live,
		}),
		Log: n.log, Metrics: n.metrics, MostInProgress: settings.MemoryBytes / requestBytes,
	})
	n.servers = n.newServers()
	return n
}

// cutoffRefresh is the time for which an entry goes by the cutoffs that it
// worked out from the reports of guards. It is a fifth of the window in which
// guards set theirs.
const cutoffRefresh = 20 * time.Millisecond

// routeSample is the number of targets of a service that are compared for one
// request, in the own data centre and beyond. The better of two is chosen among
// them, so that a larger number changes little.
const routeSample = 8

// slowStart is the time over which a target that has started gets its full
// share. Targets are slow for some seconds after their start.
const slowStart = 3 * time.Second

// newRand returns a source of random numbers with a seed of its own.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func (n *node) newServers() []*dogserve.Server {
	control := n.peers.handler()
	guard := n.counted(n.relay.Guard())
	inbound := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if dogrelay.IsCall(r) {
			guard.ServeHTTP(w, r)
			return
		}
		control.ServeHTTP(w, r)
	})
	servers := []*dogserve.Server{
		newServer("outbound", n.settings.Outbound, n.counted(n.relay.Entry())),
		newServer("inbound", n.settings.Inbound, inbound),
		newServer("ready", n.settings.Ready, n.dialect.Ready(n.ready)),
		newServer("control", n.settings.Control, n.dialect.Control(n.state)),
	}
	if n.settings.Metrics != "" {
		servers = append(servers, newServer("metrics", n.settings.Metrics, n.metrics.Handler()))
	}
	return servers
}

// idleCallers is the time after which unused connections of callers end. It
// exceeds the idle timeout that configurations set, as a caller may use its
// connection again up to then.
const idleCallers = 2 * time.Minute

func newServer(name, addr string, h http.Handler) *dogserve.Server {
	return dogserve.New(name, addr, &http.Server{
		Handler: h, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: idleCallers,
		DisableGeneralOptionsHandler: true,
	})
}

// ready reports whether callers should use this node. One that is cut off from
// the others could only serve what its own target serves.
func (n *node) ready() bool {
	return !n.state.reached(notReady) && n.configs.tables.Table() != nil && !n.state.isolated()
}

// counted counts the requests in progress.
func (n *node) counted(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.inFlight.Add(1)
		defer n.inFlight.Add(-1)
		h.ServeHTTP(w, r)
	})
}

func (n *node) listen() error {
	for _, s := range n.servers {
		if err := s.Listen(); err != nil {
			return err
		}
	}
	return nil
}

// supervise starts the long-lived parts under one supervisor.
func (n *node) supervise(ctx context.Context) <-chan error {
	sup := suture.New("sidecar", suture.Spec{
		EventHook: func(e suture.Event) { n.log.event(doglog.ServiceRestarted, slog.String("event", e.String())) },
		Timeout:   partTimeout,
	})
	config, entries := n.configs.watch(n.store, n.state.configWait), n.state.watchEntries(n.store)
	config.seen = entries.check
	sup.Add(config)
	sup.Add(entries)
	sup.Add(n.announce)
	sup.Add(dogserve.Func("probe", n.peers.probe))
	sup.Add(dogserve.Func("follow", n.peers.follow))
	sup.Add(dogserve.Func("reload", n.reload))
	for _, s := range n.servers {
		sup.Add(s)
	}
	return sup.ServeBackground(ctx)
}

// stop lets callers and other nodes go elsewhere and waits for what is in
// progress.
func (n *node) stop(ctx context.Context) {
	began := time.Now()
	n.state.advance(notReady)
	n.log.event(doglog.NodeDraining, slog.Int64("in_progress", n.inFlight.Load()))
	dogserve.Pause(ctx, guardFor)
	n.state.advance(guardClosed)
	if err := n.announce.leave(ctx); err != nil {
		n.log.event(doglog.PlatformConflict, slog.String("name", n.settings.Node), doglog.Err(err))
	}
	last := began.Add(n.state.grace() - stopMargin)
	for time.Now().Before(last) {
		if time.Since(began) >= readyFor && n.inFlight.Load() == 0 {
			return
		}
		if time.Since(began) >= entryFor {
			n.state.advance(entryClosed)
		}
		dogserve.Pause(ctx, stopPoll)
	}
	n.log.event(doglog.DrainTimedOut, slog.Int64("in_progress", n.inFlight.Load()))
}
