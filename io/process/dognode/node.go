package dognode

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/thejerf/suture/v4"

	"dogwoodford/core/process/dogadmit"
	"dogwoodford/core/process/dogpressure"
	"dogwoodford/core/process/dogrecord"
	"dogwoodford/core/request/dogroute"
	"dogwoodford/io/connection/dogconn"
	"dogwoodford/io/process/doglog"
	"dogwoodford/io/process/dogmetric"
	"dogwoodford/io/process/dogpeer"
	"dogwoodford/io/process/dogplatform"
	"dogwoodford/io/process/dogserve"
	"dogwoodford/io/process/dogsettings"
	"dogwoodford/io/process/dogtrace"
	"dogwoodford/io/request/doggate"
	"dogwoodford/io/request/doghttp"
)

const (
	// maxAsyncCalls is the number of calls started by the control loop that run
	// at once. Further calls wait in their own goroutines; the loop never waits.
	maxAsyncCalls = 256
	// stopTimeout bounds the wait for the supervised parts to stop after a drain.
	stopTimeout = 5 * time.Second
	// expireInterval is the interval at which old records are removed.
	expireInterval = 5 * time.Second
)

// node is one node with all its parts.
type node struct {
	settings      dogsettings.Settings
	started       time.Time
	logger        *slog.Logger
	limitedLogger *doglog.Limiter
	metrics       *dogmetric.Set
	tracer        *dogtrace.Tracer

	platform        *dogplatform.Client
	platformStatus  platformHealth
	peers           *dogpeer.Client
	peerTransport   *dogconn.Transport
	targetTransport *dogconn.Transport

	control     *control
	records     *dogrecord.Records
	gate        *doggate.Gate
	suspectGate *suspectGate
	handlers    *doghttp.Handlers
	target      *targetMonitor
	drain       *drain
	servers     *servers

	contractWatch *prefixWatch
	drainWatch    *prefixWatch

	ctx      context.Context // For calls started by the control loop.
	asyncSem chan struct{}
	wg       sync.WaitGroup
}

// Run runs a node until ctx ends or the platform marks it as draining, then
// drains it and returns. Log lines go to out. Run returns an error only if the
// node could not start; a drain that times out is logged.
func Run(ctx context.Context, settings dogsettings.Settings, out io.Writer) error {
	n, err := newNode(ctx, settings, out)
	if err != nil {
		return fmt.Errorf("start node %s: %w", settings.Node.Name, err)
	}
	if err := n.servers.listen(); err != nil {
		n.log(doglog.ListenFailed, doglog.Err(err))
		return fmt.Errorf("start node %s: %w", settings.Node.Name, err)
	}
	// The parts outlive ctx, as the drain needs them.
	base := context.WithoutCancel(ctx)
	runCtx, cancel := context.WithCancel(base)
	defer cancel()
	n.ctx = runCtx
	done := n.supervise(runCtx)
	n.log(doglog.NodeStarted, attr("name", settings.Node.Name), attr("service", settings.Node.Service),
		attr("data_centre", settings.Node.DataCentre))
	select {
	case <-ctx.Done():
	case <-n.drain.marked:
	}
	n.drain.finish(base)
	cancel()
	close(n.control.stopped)
	n.awaitStop(done)
	n.log(doglog.NodeStopped)
	return nil
}

// awaitStop waits for the supervised parts and the calls in progress, then shuts
// down the tracer and the client for other nodes.
func (n *node) awaitStop(done <-chan error) {
	timeout := time.NewTimer(stopTimeout)
	defer timeout.Stop()
	select {
	case <-done:
	case <-timeout.C:
	}
	n.wg.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := n.tracer.Shutdown(ctx); err != nil {
		n.log(doglog.TraceExportFailed, doglog.Err(err))
	}
	n.peers.Close()
}

func newNode(ctx context.Context, settings dogsettings.Settings, out io.Writer) (*node, error) {
	started := time.Now()
	tr, err := dogtrace.New(ctx, dogtrace.Config{
		Exporter: settings.Trace.Exporter, Endpoint: settings.Trace.Endpoint,
		Service: settings.Node.Service, Node: settings.Node.Name, DataCentre: settings.Node.DataCentre,
	})
	if err != nil {
		return nil, fmt.Errorf("set up tracing: %w", err)
	}
	logger := doglog.New(out, settings.Log.Level, settings.Log.Format).
		With(slog.String("node", settings.Node.Name))
	n := &node{
		settings: settings, started: started, logger: logger,
		limitedLogger: doglog.NewLimiter(logger, 10*time.Second, 10),
		metrics:       dogmetric.NewSet(), tracer: tr,
		records:  dogrecord.New(dogrecord.Options{MaxAnswerSize: maxAnswerBytes}),
		asyncSem: make(chan struct{}, maxAsyncCalls),
	}
	n.platform = dogplatform.New(dogplatform.Options{
		Address: settings.Platform.Address, Rand: newRand(), Observe: n.observePlatformCall,
	})
	n.peers = dogpeer.NewClient(dogpeer.ClientOptions{Key: settings.Peer.Key, Node: settings.Node.Name})
	n.peerTransport = dogconn.NewPeer(dogconn.Options{})
	n.targetTransport = dogconn.NewTarget(dogconn.Options{MaxConns: settings.Target.Connections})
	n.gate = doggate.NewGate(dogadmit.New(dogadmit.Options{Slots: settings.Target.Slots, Rand: newRand()}))
	n.drain = newDrain(n)
	n.contractWatch = newPrefixWatch(n, contractPrefix, func(now time.Time, o object) { n.control.contractSeen(now, o) })
	n.drainWatch = newPrefixWatch(n, drainPrefix, func(now time.Time, o object) { n.control.drainSeen(now, o) })
	n.control = newControl(n, started, newRand())
	n.suspectGate = newSuspectGate(n.control)
	n.target = newTargetMonitor(n)
	n.handlers = doghttp.New(n.handlerConfig())
	n.servers = newServers(n)
	return n, nil
}

func (n *node) handlerConfig() doghttp.Config {
	router := dogroute.New(dogroute.Options{DataCentre: n.settings.Node.DataCentre, Rand: newRand()})
	return doghttp.Config{
		Name: n.settings.Node.Name, Service: n.settings.Node.Service,
		TargetAddress: n.settings.Target.Address, PeerKey: n.settings.Peer.Key,
		Control: n.control, Gate: n.gate, Router: doggate.NewBalancer(router),
		Pressure: newPressure(dogpressure.New(dogpressure.Options{Rand: newRand()}), n.metrics),
		Records:  ownerRecords{c: n.control}, Suspects: suspects{n: n},
		Tracer: tracer{t: n.tracer}, Events: events{n: n}, Counters: counters{n: n},
		Peers: n.peerTransport, Target: n.targetTransport,
	}
}

// supervise starts the long-lived parts under one supervisor. The returned
// channel receives the error of the supervisor when it has stopped.
func (n *node) supervise(ctx context.Context) <-chan error {
	sup := suture.New("node", suture.Spec{
		EventHook: func(e suture.Event) {
			n.log(doglog.ServiceRestarted, attr("event", e.String()))
		},
		Timeout: stopTimeout,
	})
	sup.Add(n.control)
	sup.Add(n.target)
	sup.Add(n.contractWatch)
	sup.Add(n.drainWatch)
	sup.Add(dogserve.Func("expire", n.expire))
	n.servers.addTo(sup)
	return sup.ServeBackground(ctx)
}

// expire removes old records periodically, so that an owner without requests
// frees their memory too.
func (n *node) expire(ctx context.Context) error {
	for ctx.Err() == nil {
		dogserve.Sleep(ctx, expireInterval)
		n.records.Expire(time.Now())
	}
	return ctx.Err()
}

// async runs f in a goroutine of its own, so that the control loop does not
// wait for it.
func (n *node) async(f func(ctx context.Context)) {
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		select {
		case n.asyncSem <- struct{}{}:
		case <-n.ctx.Done():
			return
		}
		defer func() { <-n.asyncSem }()
		f(n.ctx)
	}()
}

// newRand returns a randomly seeded source of random numbers.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// protocols returns the protocols of the listeners: HTTP/1.1 and unencrypted
// HTTP/2.
func protocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

// servers are the listeners of a node.
type servers struct {
	all []*dogserve.Server
}

func newServers(n *node) *servers {
	peer := http.NewServeMux()
	path, h := dogpeer.NewHandler(peerHandler{c: n.control}, dogpeer.ServerOptions{Key: n.settings.Peer.Key})
	peer.Handle(path, h)
	peer.Handle("/", n.handlers.Peer())
	l := n.settings.Listen
	return &servers{all: []*dogserve.Server{
		newServer("entry", l.Entry, n.handlers.Entry()),
		newServer("exit", l.Exit, n.handlers.Exit()),
		newServer("peer", l.Peer, peer),
		newServer("admin", l.Admin, n.admin()),
	}}
}

func newServer(name, addr string, h http.Handler) *dogserve.Server {
	return dogserve.New(name, addr, &http.Server{
		Handler:   h,
		Protocols: protocols(),
		// These bound how long a slow or idle caller holds a connection; bodies
		// have the deadline of their request.
		ReadHeaderTimeout: 10 * time.Second,
		IdleTimeout:       2 * time.Minute,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: 1000},
	})
}

// listen opens all listeners.
func (s *servers) listen() error {
	for _, v := range s.all {
		if err := v.Listen(); err != nil {
			return err
		}
	}
	return nil
}

func (s *servers) addTo(sup *suture.Supervisor) {
	for _, v := range s.all {
		sup.Add(v)
	}
}

// shutdown closes the named listener and waits for its requests in progress
// until ctx ends.
func (s *servers) shutdown(ctx context.Context, name string) {
	for _, v := range s.all {
		if v.String() == name {
			// The error is that of ctx, which the caller checks.
			_ = v.Shutdown(ctx)
		}
	}
}
