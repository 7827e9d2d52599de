package dogsidecar

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"dogwoodford"
	"dogwoodford/core/process/dogfleet"
	"dogwoodford/io/connection/dogconn"
	"dogwoodford/io/process/doglog"
	"dogwoodford/io/process/dogserve"
)

// Paths of the requests between nodes that carry no request of a caller.
const (
	pingPath    = "/ping"    // Does the target take work?
	configPath  = "/config"  // Value of the configuration in force.
	entriesPath = "/entries" // Entries of all known nodes.
)

const (
	// peerTimeout bounds a control request to another node. Round trips take
	// tens of milliseconds at most.
	peerTimeout = 500 * time.Millisecond
	// askTimeout bounds the question whether a node lives. It is many round
	// trips within a region.
	askTimeout = 150 * time.Millisecond
	// probeEvery is the interval at which due probes are looked for.
	probeEvery = 100 * time.Millisecond
	// pullPause bounds how often a newer configuration is asked for.
	pullPause = 50 * time.Millisecond
	// maxPeerBytes bounds an answer of another node; a value of the store has
	// a megabyte at most.
	maxPeerBytes = 8 << 20
)

var errPeer = eris.New("node gave no usable answer")

// versioned is an entry as nodes pass it on.
type versioned struct {
	Entry   dogfleet.Entry `json:"entry"`
	Version int64          `json:"version"`
}

// peers makes control requests to other nodes.
type peers struct {
	transport *dogconn.Transport
	state     *state
	store     dogwoodford.Store
	configs   *configs
	log       *logger
}

// lives asks a node whether it lives. Any answer counts. It asks twice, as one
// packet may be lost.
func (p *peers) lives(e dogfleet.Entry) bool {
	for range 2 {
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		_, err := p.get(ctx, e.Peer, pingPath)
		cancel()
		if err == nil || !dark(err) {
			return true
		}
	}
	return false
}

// dark reports whether a failed request shows that nothing at all came back.
func dark(err error) bool { return !errors.Is(err, errPeer) && !dogconn.Refused(err) }

// get returns the answer of the node at addr.
func (p *peers) get(ctx context.Context, addr, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return nil, fmt.Errorf("get %s of %s: %w", path, addr, err)
	}
	resp, _, err := p.transport.Do(req)
	if err != nil {
		return nil, fmt.Errorf("get %s of %s: %w", path, addr, err)
	}
	defer func() { _ = resp.Body.Close() }() // The body was read or is given up.
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("get %s of %s: status %d: %w", path, addr, resp.StatusCode, errPeer)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxPeerBytes))
	if err != nil {
		return nil, fmt.Errorf("get %s of %s: %w", path, addr, err)
	}
	return data, nil
}

// probe asks unreachable nodes until they take work, and removes the entries
// of those that never do.
func (p *peers) probe(ctx context.Context) error {
	for ctx.Err() == nil {
		dogserve.Pause(ctx, probeEvery)
		var wg sync.WaitGroup
		for _, e := range p.state.probes() {
			wg.Go(func() {
				if _, err := p.get(ctx, e.Peer, pingPath); err != nil {
					p.state.Unreachable(e.Node, dark(err))
					return
				}
				p.state.Reachable(e.Node)
			})
		}
		wg.Wait()
		p.removeStale(ctx)
	}
	return ctx.Err()
}

func (p *peers) removeStale(ctx context.Context) {
	for name, version := range p.state.stale() {
		err := p.store.Delete(ctx, targetKind, name, version)
		p.log.event(doglog.EntryRemoved, slog.String("peer", name), slog.Int64("revision", version), doglog.Err(err))
		// Whatever the result, the change comes with the watch. The node is
		// not asked for again before that.
		p.state.forget(name)
	}
}

// follow fetches the configuration, and at first the entries, from nodes that
// have a newer one.
func (p *peers) follow(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case addr := <-p.state.newer:
			p.configs.pull(ctx, p, addr)
			p.pullEntries(ctx, addr)
			dogserve.Pause(ctx, pullPause)
		}
	}
	return ctx.Err()
}

// pullEntries takes the entries of another node if this one has none, as after
// a start while the store is down.
func (p *peers) pullEntries(ctx context.Context, addr string) {
	if p.state.Nodes() > 1 {
		return
	}
	data, err := p.get(ctx, addr, entriesPath)
	if err != nil {
		p.log.event(doglog.ConfigPullFailed, slog.String("peer", addr), doglog.Err(err))
		return
	}
	var entries []versioned
	if err := json.Unmarshal(data, &entries); err != nil {
		p.log.event(doglog.ConfigPullFailed, slog.String("peer", addr), doglog.Err(err))
		return
	}
	for _, v := range entries {
		p.state.put(v.Entry, v.Version)
	}
}

// handler answers the control requests of other nodes.
func (p *peers) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(pingPath, func(w http.ResponseWriter, _ *http.Request) {
		if _, reason := p.state.Current(); reason != dogwoodford.ReasonNone {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc(configPath, p.configs.serve)
	mux.HandleFunc(entriesPath, func(w http.ResponseWriter, _ *http.Request) {
		if err := json.NewEncoder(w).Encode(p.state.entries()); err != nil {
			p.log.event(doglog.ConfigPullFailed, doglog.Err(err))
		}
	})
	return mux
}
