package dogpeer

import (
	"context"
	"time"

	"dogwoodford/core/process/dogmember"
)

// ClientOptions configure a Client. Zero values take the defaults in the
// comments.
type ClientOptions struct {
	Key        string        // Peer key of the settings.
	Node       string        // Name of this node, told in each call.
	Timeout    time.Duration // Longest time of a call, unless ctx ends earlier; 2 s.
	Concurrent int           // Calls at once, others fail; 256.
	ReadBytes  int           // Largest answer read; 4 MiB.
	IdleConns  int           // Idle connections kept to all peers together; 64.
}

// Client calls the Peer service of other nodes. It is safe for concurrent use.
type Client struct{}

// NewClient returns a client. It panics if the key or the node is empty.
func NewClient(opt ClientOptions) *Client { return &Client{} }

// Probe exchanges updates with a peer.
func (c *Client) Probe(ctx context.Context, peer string, m dogmember.Message) (dogmember.Message, error) {
	return dogmember.Message{}, nil
}

// ProbeVia asks the node at via to probe peer.
func (c *Client) ProbeVia(ctx context.Context, via, peer string) (bool, error) { return false, nil }

// Notify delivers updates.
func (c *Client) Notify(ctx context.Context, peer string, m dogmember.Message) error { return nil }

// Pull asks for state.
func (c *Client) Pull(ctx context.Context, peer string, req PullRequest) (PullResponse, error) {
	return PullResponse{}, nil
}

// Promise asks a witness for a promise.
func (c *Client) Promise(ctx context.Context, peer string, p Promise) (Grant, error) {
	return Grant{}, nil
}

// HandOver sends records to the next owner of a range.
func (c *Client) HandOver(ctx context.Context, peer string, h HandOver) (Grant, error) {
	return Grant{}, nil
}

// Counts returns totals since the start.
func (c *Client) Counts() Counts { return Counts{} }

// Close closes idle connections.
func (c *Client) Close() {}
