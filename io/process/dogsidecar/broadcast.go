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

	"dogwoodford/core/process/dogfleet"
	"dogwoodford/io/process/doglog"
)

const (
	// maxConcurrentSends is the number of nodes to which a message is sent at the same
	// time.
	maxConcurrentSends = 16
	// maxMessageBytes bounds the body of a message to all nodes. Entries and reports
	// have some kilobytes.
	maxMessageBytes = 64 << 10
)

// parallel calls f for all i below n, at most maxConcurrentSends at a time, and returns when
// all calls have.
func parallel(n int, f func(i int)) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentSends)
	for i := range n {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			f(i)
		})
	}
	wg.Wait()
}

// broadcast sends a message to all other nodes, once to each and to silent ones last. It
// calls taken, unless that is nil, for those that take it, and logs failed for the others.
func (p *peers) broadcast(ctx context.Context, path string, message any, failed doglog.Event, taken func(node string)) {
	data, err := json.Marshal(message)
	if err != nil {
		p.log.event(failed, doglog.Err(err))
		return
	}
	nodes := p.state.randomPeers(p.state.NodeCount())
	parallel(len(nodes), func(i int) {
		switch err := p.send(ctx, nodes[i], path, data); {
		case err != nil:
			p.log.event(failed, slog.String("peer", nodes[i].Node), doglog.Err(err))
		case taken != nil:
			taken(nodes[i].Node)
		}
	})
}

// sendMessage is send for a message that is not encoded yet.
func (p *peers) sendMessage(ctx context.Context, e dogfleet.Entry, path string, message any) error {
	data, err := json.Marshal(message)
	if err != nil {
		return fmt.Errorf("encode message for %s: %w", path, err)
	}
	return p.send(ctx, e, path, data)
}

// send sends a message to the node of e over a kept connection, and once more over a new
// one if that fails, as an open connection can be dead while new ones work. A node that
// gets a message twice takes it once.
func (p *peers) send(ctx context.Context, e dogfleet.Entry, path string, data []byte) error {
	_, err := p.exchange(ctx, p.kept, http.MethodPost, e.Node, e.Peer, path, data)
	if err == nil || errors.Is(err, errOtherNode) || errors.Is(err, errUnusableResponse) || ctx.Err() != nil {
		return err
	}
	_, err = p.request(ctx, http.MethodPost, e.Node, e.Peer, path, data)
	return err
}

// decodeMessage decodes the body of a message of another node into message.
func decodeMessage(r *http.Request, message any) error {
	return json.NewDecoder(io.LimitReader(r.Body, maxMessageBytes)).Decode(message)
}

// sendEntries sends the entry of this node to all others after each write to the store,
// until ctx ends. They learn of it at once, and need not ask the store so often.
func (p *peers) sendEntries(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case v := <-p.state.written:
			p.broadcast(ctx, entryPath, v, doglog.EntryNotSent, nil)
		}
	}
	return ctx.Err()
}

// sendEntry sends an entry of this node to all others at once, at most for entrySendTime.
func (p *peers) sendEntry(ctx context.Context, v versionedEntry) {
	ctx, cancel := context.WithTimeout(ctx, entrySendTime)
	defer cancel()
	p.broadcast(ctx, entryPath, v, doglog.EntryNotSent, nil)
}

// entryWritten makes sendEntries send an entry, in place of an earlier one that still
// waits.
func (s *state) entryWritten(v versionedEntry) {
	select {
	case <-s.written:
	default:
	}
	s.written <- v
}

// receiveEntry records the entry of another node.
func (p *peers) receiveEntry(w http.ResponseWriter, r *http.Request) {
	var v versionedEntry
	if err := decodeMessage(r, &v); err != nil || !v.Entry.Valid() || v.Entry.Node == p.state.settings.Node {
		p.log.event(doglog.ObjectInvalid, slog.String("name", v.Entry.Node), doglog.Err(err))
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.state.putFromNode(v)
}
