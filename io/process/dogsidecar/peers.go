package dogsidecar

import (
	"bytes"
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
	"dogwoodford/core/request/dogcall"
	"dogwoodford/io/connection/dogconn"
	"dogwoodford/io/process/doglog"
	"dogwoodford/io/process/dogserve"
)

// Paths of the control requests between nodes.
const (
	pingPath    = "/ping"    // Whether the target accepts requests.
	configPath  = "/config"  // Unparsed configuration in force.
	entriesPath = "/entries" // Entries of all known nodes.
	entryPath   = "/entry"   // Takes the entry of the sender.
	crashesPath = "/crashes" // Takes reports of crashes.
	// departurePath takes the departure of a target: of the sender's, or of the receiver's.
	// It answers with those of the node that is named in the query.
	departurePath = "/departure"
	freshPath     = "/fresh" // How long ago the configuration is known to have been the newest.
)

const (
	// peerTimeout bounds a control request to another node. Round trips take
	// tens of milliseconds at most.
	peerTimeout = 500 * time.Millisecond
	// pingTimeout bounds one attempt of isAlive. It allows for many round trips
	// within a region.
	pingTimeout = 150 * time.Millisecond
	// probeInterval is the interval at which the node checks for due probes of
	// unreachable nodes.
	probeInterval = 100 * time.Millisecond
	// staleInterval is the interval at which the node tries to remove entries of nodes
	// that stay unreachable. All nodes do so until one succeeds.
	staleInterval = 5 * time.Second
	// minPullInterval is the pause after a pull. It bounds how often newer
	// configurations are requested.
	minPullInterval = 50 * time.Millisecond
	// maxResponseBytes bounds the response of another node. A value of the
	// store has at most a megabyte.
	maxResponseBytes = 8 << 20
)

var (
	errUnusableResponse = eris.New("unusable response from node")
	// errOtherNode means that the address of a node is that of another one now.
	errOtherNode = eris.New("response from another node")
)

// headerNode names the node that answers a control request. Nodes of earlier builds do
// not send it.
const headerNode = dogcall.Prefix + "Node"

// versionedEntry is an entry with its revision in the store, as nodes send it to each
// other. Those of earlier builds send no era, and ignore it.
type versionedEntry struct {
	Entry   dogfleet.Entry `json:"entry"`
	Version int64          `json:"version"` // Number of the revision.
	Era     int64          `json:"era,omitempty"`
}

func newVersionedEntry(e dogfleet.Entry, r dogwoodford.Revision) versionedEntry {
	return versionedEntry{Entry: e, Version: r.Number(), Era: r.Era()}
}

// peers makes and answers control requests between nodes.
type peers struct {
	transport *dogconn.Transport
	// kept keeps the connections of requests, which messages and questions to many nodes
	// share.
	kept    *dogconn.Transport
	state   *state
	store   dogwoodford.Store
	configs *configs
	log     *logger
	keys    *freshness
}

// response is the answer of another node to a control request.
type response struct {
	body    []byte
	version int64 // Version of its configuration, 0 if it does not tell.
}

// isAlive reports whether a node answers a ping in any way, including with an
// error or a reset. It tries twice, because one packet may be lost. It does not if
// another node answers at its address.
func (p *peers) isAlive(e dogfleet.Entry) bool {
	for range 2 {
		ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
		err := p.ping(ctx, e)
		cancel()
		if errors.Is(err, errOtherNode) {
			return false
		}
		if err == nil || !noResponse(err) {
			return true
		}
	}
	return false
}

// ping returns nil if a node accepts requests. The error is errOtherNode if another node
// answers, and errUnusableResponse if the node does not accept requests.
func (p *peers) ping(ctx context.Context, e dogfleet.Entry) error {
	_, err := p.request(ctx, http.MethodGet, e.Node, e.Peer, pingPath, nil)
	return err
}

// noResponse reports whether a failed request got no response of any kind, not
// even a refused or reset connection.
func noResponse(err error) bool {
	return !errors.Is(err, errUnusableResponse) && !errors.Is(err, errOtherNode) && !dogconn.HostResponded(err)
}

// get returns the body of the response of the node at addr, whichever it is. A status
// other than 200 is an errUnusableResponse.
func (p *peers) get(ctx context.Context, addr, path string) ([]byte, error) {
	return p.request(ctx, http.MethodGet, "", addr, path, nil)
}

// request sends a request with a body, which may be nil, to the node at addr and
// returns the body of the response. If another node than the named one answers, the error
// is errOtherNode; no name stands for any. A status other than 200 is an
// errUnusableResponse.
func (p *peers) request(ctx context.Context, method, node, addr, path string, body []byte) ([]byte, error) {
	resp, err := p.exchange(ctx, p.transport, method, node, addr, path, body)
	return resp.body, err
}

// exchange is request over a given transport.
func (p *peers) exchange(ctx context.Context, transport *dogconn.Transport, method, node, addr, path string, body []byte) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return response{}, fmt.Errorf("%s %s of %s: %w", method, path, addr, err)
	}
	asked := p.keys.moment()
	resp, _, err := transport.Do(req)
	if err != nil {
		return response{}, fmt.Errorf("%s %s of %s: %w", method, path, addr, err)
	}
	defer func() { _ = resp.Body.Close() }() // The body was read or is not needed.
	if name := resp.Header.Get(headerNode); node != "" && name != "" && name != node {
		return response{}, fmt.Errorf("%s %s of %s: answered by %s: %w", method, path, node, name, errOtherNode)
	}
	out := response{version: p.keys.readAnswer(resp.Header, asked)}
	if resp.StatusCode != http.StatusOK {
		return response{}, fmt.Errorf("%s %s of %s: status %d: %w", method, path, addr, resp.StatusCode, errUnusableResponse)
	}
	if out.body, err = io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes)); err != nil {
		return response{}, fmt.Errorf("%s %s of %s: %w", method, path, addr, err)
	}
	return out, nil
}

// probeUnreachable pings unreachable nodes until they accept requests, until ctx ends.
func (p *peers) probeUnreachable(ctx context.Context) error {
	for ctx.Err() == nil {
		dogserve.Sleep(ctx, probeInterval)
		var wg sync.WaitGroup
		for _, e := range p.state.probes() {
			wg.Go(func() {
				if err := p.ping(ctx, e); err != nil {
					p.state.MarkUnreachable(e.Node, noResponse(err))
					return
				}
				p.state.MarkReachable(e.Node)
			})
		}
		wg.Wait()
	}
	return ctx.Err()
}

// removeUnreachable removes the entries of nodes that stay unreachable, until ctx ends. It
// is a loop of its own, so that a slow store does not delay probes.
func (p *peers) removeUnreachable(ctx context.Context) error {
	for ctx.Err() == nil {
		dogserve.Sleep(ctx, staleInterval)
		p.removeStale(ctx)
	}
	return ctx.Err()
}

// removeStale makes one attempt to remove each entry that is stale.
func (p *peers) removeStale(ctx context.Context) {
	for name, revision := range p.state.stale() {
		writeCtx, cancel := context.WithTimeout(ctx, writeTimeout)
		err := p.store.Delete(writeCtx, targetKind, name, revision)
		cancel()
		p.log.event(doglog.EntryRemoved, slog.String("peer", name), slog.Any("revision", revision), doglog.Err(err))
		if err == nil || errors.Is(err, dogwoodford.ErrNotFound) || errors.Is(err, dogwoodford.ErrConflict) {
			// The watch reports the change, or an entry that the node wrote since.
			p.state.forget(name)
		}
	}
}

// pullNewer fetches the configuration from nodes that have a newer one, and the
// entries if this node knows of no other node, until ctx ends.
func (p *peers) pullNewer(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case addr := <-p.state.newerConfigs:
			p.configs.pull(ctx, p, addr)
			p.pullEntries(ctx, addr)
			if p.state.needsAssurance() {
				p.askDepartures(ctx)
			}
			dogserve.Sleep(ctx, minPullInterval)
		}
	}
	return ctx.Err()
}

// pullEntries fetches the entries that another node knows if this one knows at
// most one, as after a start while the store is unavailable.
func (p *peers) pullEntries(ctx context.Context, addr string) {
	if p.state.NodeCount() > 1 {
		return
	}
	data, err := p.get(ctx, addr, entriesPath)
	if err != nil {
		p.log.event(doglog.ConfigPullFailed, slog.String("peer", addr), doglog.Err(err))
		return
	}
	var entries []versionedEntry
	if err := json.Unmarshal(data, &entries); err != nil {
		p.log.event(doglog.ConfigPullFailed, slog.String("peer", addr), doglog.Err(err))
		return
	}
	for _, v := range entries {
		if v.Entry.Valid() {
			p.state.putFromNode(v)
		}
	}
}

// handler returns the handler of control requests from other nodes.
func (p *peers) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(pingPath, func(w http.ResponseWriter, _ *http.Request) {
		if _, reason := p.state.Current(); reason != dogwoodford.ReasonNone {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc(configPath, p.configs.serve)
	if p.keys != nil {
		mux.HandleFunc(freshPath, func(http.ResponseWriter, *http.Request) {}) // The answer is its header.
	}
	mux.HandleFunc("POST "+crashesPath, p.receiveReports)
	mux.HandleFunc("POST "+entryPath, p.receiveEntry)
	mux.HandleFunc("POST "+departurePath, p.receiveDeparture)
	mux.HandleFunc("GET "+departurePath, p.serveDepartures)
	mux.HandleFunc(entriesPath, func(w http.ResponseWriter, _ *http.Request) {
		if err := json.NewEncoder(w).Encode(p.state.entries()); err != nil {
			p.log.event(doglog.ConfigPullFailed, doglog.Err(err))
		}
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerNode, p.state.settings.Node)
		p.keys.format(w.Header())
		mux.ServeHTTP(w, r)
	})
}
