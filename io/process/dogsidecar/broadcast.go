package dogsidecar

import (
	"context"
	"encoding/json"
	"errors"
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

// broadcast sends a message to all other nodes, once to each, and logs failed for those
// that do not take it. They read the same in the store later.
func (p *peers) broadcast(ctx context.Context, path string, message any, failed doglog.Event) {
	data, err := json.Marshal(message)
	if err != nil {
		p.log.event(failed, doglog.Err(err))
		return
	}
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentSends)
	for _, v := range p.state.entries() {
		if v.Entry.Node == p.state.settings.Node {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			if err := p.send(ctx, v.Entry, path, data); err != nil {
				p.log.event(failed, slog.String("peer", v.Entry.Node), doglog.Err(err))
			}
		})
	}
	wg.Wait()
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
			p.broadcast(ctx, entryPath, v, doglog.EntryNotSent)
		}
	}
	return ctx.Err()
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
	p.state.put(v.Entry, v.Version)
}
