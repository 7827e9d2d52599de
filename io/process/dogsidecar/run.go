package dogsidecar

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/thejerf/suture/v4"

	"dogwoodford"
	"dogwoodford/core/process/dogadmit"
	"dogwoodford/core/process/dogpressure"
	"dogwoodford/core/process/dogtarget"
	"dogwoodford/core/request/dogroute"
	"dogwoodford/core/version/dogtable"
	"dogwoodford/io/connection/dogconn"
	"dogwoodford/io/connection/dogpipeline"
	"dogwoodford/io/process/doglag"
	"dogwoodford/io/process/doglog"
	"dogwoodford/io/process/dogmetric"
	"dogwoodford/io/process/dogserve"
	"dogwoodford/io/request/doggate"
	"dogwoodford/io/request/dogrelay"
)

const (
	// drainPollInterval is the interval at which a stopping node checks whether
	// requests are in progress.
	drainPollInterval = 20 * time.Millisecond
	// serviceStopTimeout bounds the time in which a supervised service stops.
	serviceStopTimeout = 200 * time.Millisecond
	// memoryLimitShare is the share of the memory that the heap may use before
	// the garbage collector runs more often. The rest is for stacks, the
	// kernel's buffers and the program itself.
	memoryLimitShare = 0.6
	// bytesPerRequest is the memory that is reserved for a request in progress:
	// its goroutines and the buffers of up to four connections, doubled because
	// the garbage collector lets as much garbage accumulate.
	bytesPerRequest = 160 << 10
	// bufferedMemoryDivisor is the part of the memory, as a divisor, that the buffered
	// parts of long bodies may take together.
	bufferedMemoryDivisor = 8
	// initialSlots is the number of the target's slots that is assumed until
	// its first heartbeat. No request is sent to the target before that.
	initialSlots = 16
)

const (
	// dialTimeout bounds a dial to another node. Round trips take tens of
	// milliseconds. A lost SYN packet is retransmitted only after a second, so
	// that trying another node is faster.
	dialTimeout = 300 * time.Millisecond
	// unacknowledgedTimeout is the time after which connections to a node that
	// acknowledges nothing are closed. It allows for one retransmission of a
	// lost packet.
	unacknowledgedTimeout = 1000 * time.Millisecond
	// peerIdleTimeout and targetIdleTimeout close idle connections before the
	// server does.
	peerIdleTimeout   = 60 * time.Second
	targetIdleTimeout = 8 * time.Second
	// maxConns bounds the connections to one address.
	maxConns = 512
)

// node holds the components of one sidecar process.
type node struct {
	settings       Settings
	log            *logger
	metrics        *dogmetric.Set
	state          *state
	configs        *configs
	keys           *freshness // Nil if keys are trusted without a bound.
	peers          *peers
	announce       *announcer
	relay          *dogrelay.Handlers
	dialect        Dialect
	store          dogwoodford.Store
	progress       *progress
	lag            *doglag.Monitor
	quotas         *quotas // Nil if the settings have none.
	router         *dogroute.Router
	balancer       *doggate.Balancer // Guards router.
	pressure       *pressure
	trees          *trees
	settingsSource SettingsSource
	servers        []*dogserve.Server
	requestServers []*dogserve.Server // Those of servers that take requests of callers and other nodes.
}

// Run runs a node until ctx ends and the requests in progress have been
// answered or the grace period is over. It writes log lines to out. The error
// is that of a listener that could not be opened.
func Run(ctx context.Context, settings Settings, dialect Dialect, store dogwoodford.Store, settingsSource SettingsSource, out io.Writer) error {
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(settings.MemoryBytes)))
	}
	n := newNode(settings, dialect, store, out)
	n.settingsSource = settingsSource
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
	case <-time.After(serviceStopTimeout):
	}
	n.log.event(doglog.NodeStopped, n.progress.attrs(time.Now())...)
	return nil
}

func newNode(settings Settings, dialect Dialect, store dogwoodford.Store, out io.Writer) *node {
	n := &node{
		settings: settings, log: newLogger(out, settings.Node), metrics: dogmetric.NewSet(),
		dialect: dialect, store: store, progress: newProgress(),
	}
	n.lag = n.newLagMonitor()
	tables := new(dogtable.Holder)
	split := dogtable.NewSplit(newRand())
	n.state = newState(settings, n.log, tables.Version)
	n.keys = newFreshness(settings.KeyLifetime, bootClock, n.log, n.metrics)
	shares := newShares()
	n.configs = &configs{
		dialect: dialect, log: n.log, metrics: n.metrics, tables: tables, split: split, keys: n.keys,
		inForce: []func(*dogtable.Table){shares.setWorkspaces},
	}
	liveness := dogconn.Liveness{UnacknowledgedTimeout: unacknowledgedTimeout, ProbeInterval: unacknowledgedTimeout}
	toPeers := dogconn.NewPeer(dogconn.Options{
		MaxConns: maxConns, IdleTimeout: peerIdleTimeout, DialTimeout: dialTimeout, Liveness: liveness,
	})
	// Open connections can be dead while new ones work, so control requests to
	// nodes use new connections.
	forControl := dogconn.NewPeer(dogconn.Options{
		MaxConns: maxConns, IdleTimeout: time.Millisecond, DialTimeout: dialTimeout, Liveness: liveness,
	})
	n.peers = &peers{
		transport: forControl, kept: toPeers, state: n.state, store: store, configs: n.configs, log: n.log, keys: n.keys,
	}
	n.state.probeAlive = n.peers.isAlive
	n.state.copyDeparture = func(d dogtarget.Departure) { n.peers.copyDeparture(context.Background(), d) }
	n.announce = &announcer{state: n.state, store: store, log: n.log, sendEntry: n.peers.sendEntry}
	gate := doggate.NewGate(dogadmit.New(dogadmit.Options{
		Slots: initialSlots, Rand: newRand(), ExemptChildCalls: true, Ramp: rampLimit,
	}))
	n.state.setSlots = gate.SetSlots
	n.state.ramps = &rampMonitor{gate: gate, log: n.log, metrics: n.metrics}
	n.quotas = newQuotas(n, tables, time.Now())
	n.router = dogroute.New(dogroute.Options{
		DataCentre: settings.DataCentre, SlowStart: slowStart, Rand: newRand(), Sample: routeSampleSize,
		ByCompletion: routeByCompletion,
	})
	n.balancer = doggate.NewBalancer(n.router)
	n.pressure = &pressure{table: dogpressure.New(dogpressure.Options{
		Rand: newRand(), UseMean: true, Refresh: cutoffRefreshInterval, RetryByRefusalShare: true,
	})}
	n.trees = newTrees()
	relayConfig := dogrelay.Config{
		Headers: dialect.Headers(), Node: settings.Node, Service: settings.Service,
		DataCentre: settings.DataCentre, Peer: settings.Advertised, TargetAddress: settings.Target,
		Tables: tables, Split: split, Fleet: n.state, Local: n.state, Budget: n.state, Crashes: n.state, Gate: gate,
		Pressure: n.pressure, Trees: n.trees, Shares: shares, Quotas: n.relayQuotas(), Router: n.balancer, Peers: toPeers,
		Target: dogconn.NewTarget(dogconn.Options{
			MaxConns: maxConns, IdleTimeout: targetIdleTimeout, DialTimeout: dialTimeout, Liveness: liveness,
		}),
		Log: n.log, Metrics: n.metrics, Lag: n.lag.Lag, MaxInProgress: settings.MemoryBytes / bytesPerRequest,
		MaxBufferedBytes: settings.MemoryBytes / bufferedMemoryDivisor,
	}
	if n.keys != nil {
		relayConfig.Keys = n.keys
	}
	n.relay = dogrelay.New(relayConfig)
	n.servers = n.newServers()
	n.requestServers = n.servers[:2]
	for _, s := range n.requestServers {
		s.SetLinger(lingerTime)
	}
	return n
}

// cutoffRefreshInterval is the time for which an entry uses the cutoffs that it
// computed from the reports of guards. It is a fifth of the window over which
// guards compute theirs.
const cutoffRefreshInterval = 20 * time.Millisecond

// routeSampleSize is the number of targets of a service that are compared for
// one request, in the node's own data centre and in others. The better of two
// among them is chosen, so a larger sample makes little difference.
const routeSampleSize = 8

// slowStart is the time over which the load of a newly started target is
// increased to its full share. Targets are slow for some seconds after their
// start. With routeByCompletion it only holds until the first report of the target.
const slowStart = 3 * time.Second

const (
	// rampLimit lets the guard find the limit of a target that starts or recovers.
	rampLimit = true
	// routeByCompletion compares targets by their expected completion time.
	routeByCompletion = true
)

// newRand returns a generator of random numbers with a random seed.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func (n *node) newServers() []*dogserve.Server {
	control := n.peers.handler()
	guard := n.progress.track(guardPart, n.relay.Guard())
	inbound := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if dogrelay.IsCall(r) {
			guard.ServeHTTP(w, r)
			return
		}
		control.ServeHTTP(w, r)
	})
	entry := n.progress.track(entryPart, n.relay.Entry())
	budget := n.settings.newBudget()
	servers := []*dogserve.Server{
		dogserve.NewPipelined("outbound", n.settings.Outbound, n.newRequestServer("outbound", entry, budget, callerConnsDivisor)),
		dogserve.NewPipelined("inbound", n.settings.Inbound, n.newRequestServer("inbound", inbound, budget, peerConnsDivisor)),
		n.newServer("ready", n.settings.Ready, n.dialect.Ready(n.ready)),
		n.newServer("control", n.settings.Control, n.dialect.Control(n.state)),
	}
	if n.settings.Metrics != "" {
		servers = append(servers, n.newServer("metrics", n.settings.Metrics, n.metricsHandler()))
	}
	return servers
}

// callerIdleTimeout is the time after which idle connections of callers are
// closed. It exceeds the idle timeout that configurations set, because a caller
// may reuse its connection until that expires.
const callerIdleTimeout = 2 * time.Minute

// headTimeout bounds the time in which a caller sends the head of a request, if the
// configuration names no time.
const headTimeout = 10 * time.Second

// newRequestServer returns a server for requests of callers, who may send them ahead of
// responses, or of other nodes. It does not run requests whose sender has left.
func (n *node) newRequestServer(name string, h http.Handler, b *dogpipeline.Budget, connsDivisor int) *dogpipeline.Server {
	return &dogpipeline.Server{
		Handler: h, IdleTimeout: callerIdleTimeout, Limits: n.clientLimits, MaxConns: n.settings.maxConns(connsDivisor),
		MaxAhead: n.settings.MemoryBytes / bytesPerRequest / aheadDivisor, Budget: b,
		Rejected: func(r dogpipeline.Reason) { n.reject(name, r) },
		Panicked: func(v any) { n.log.event(doglog.RequestPanicked, slog.Any("panic", v)) },
	}
}

// ready reports whether callers should use this node. A node that is
// partitioned from the others can only serve requests for its own target.
func (n *node) ready() bool {
	return !n.state.stopping() && n.configs.tables.Table() != nil && !n.state.isolated()
}

// relayQuotas returns the quotas of the relay, nil if there are none.
func (n *node) relayQuotas() dogrelay.Quotas {
	if n.quotas == nil {
		return nil
	}
	return n.quotas
}

func (n *node) listen() error {
	if n.quotas != nil {
		if err := n.quotas.listen(); err != nil {
			return err
		}
	}
	for _, s := range n.servers {
		if err := s.Listen(); err != nil {
			return err
		}
	}
	return nil
}

// supervise starts the background services and servers under one supervisor.
// The channel receives the result of the supervisor when ctx has ended.
func (n *node) supervise(ctx context.Context) <-chan error {
	sup := suture.New("sidecar", suture.Spec{
		EventHook: func(e suture.Event) { n.log.event(doglog.ServiceRestarted, slog.String("event", e.String())) },
		Timeout:   serviceStopTimeout,
	})
	config, entries := n.configs.newWatcher(n.store, n.state.configWait), n.state.newEntryWatcher(n.store)
	config.onRevision = entries.restartIfBehind
	sup.Add(config)
	sup.Add(entries)
	sup.Add(n.announce)
	sup.Add(dogserve.Func("probe", n.peers.probeUnreachable))
	sup.Add(dogserve.Func("remove", n.peers.removeUnreachable))
	sup.Add(dogserve.Func("follow", n.peers.pullNewer))
	sup.Add(dogserve.Func("reports", n.peers.sendReports))
	sup.Add(dogserve.Func("entries", n.peers.sendEntries))
	sup.Add(dogserve.Func("departures", n.peers.repeatDepartures))
	sup.Add(dogserve.Func("assure", n.peers.assure))
	sup.Add(dogserve.Func("reload", n.reload))
	if n.keys != nil {
		sup.Add(dogserve.Func("fresh", n.peers.keepFresh))
	}
	sup.Add(n.lag)
	if n.quotas != nil {
		sup.Add(dogserve.Func("quotas", n.quotas.serve))
	}
	for _, s := range n.servers {
		sup.Add(s)
	}
	return sup.ServeBackground(ctx)
}
