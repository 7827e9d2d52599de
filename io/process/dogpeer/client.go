package dogpeer

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"dogwoodford/core/process/dogmember"
	"dogwoodford/io/process/dogpeer/peerpb"
	"dogwoodford/io/process/dogpeer/peerpb/peerpbconnect"
)

const (
	defaultTimeout       = 2 * time.Second
	defaultMaxConcurrent = 256
	// idleTimeout makes the client close idle connections before the peer's
	// server does. A longer time would not help in a large fleet, where a node
	// probes the same peer again only after minutes.
	idleTimeout = 30 * time.Second
)

// ClientOptions configure a Client. Zero values take the defaults given at the end
// of the comments.
type ClientOptions struct {
	Key           string        // Peer key of the settings.
	Node          string        // Name of this node, sent as the caller's name.
	Timeout       time.Duration // Limit on the duration of a call, unless ctx ends earlier; 2 s.
	MaxConcurrent int           // Limit on concurrent calls, beyond which calls fail at once; 256.
	MaxReadBytes  int           // Size of the largest response accepted; 4 MiB.
	MaxIdleConns  int           // Limit on idle connections to all peers together; 64.
}

// Client calls the Peer service of other nodes. It is safe for concurrent use.
type Client struct {
	opt       ClientOptions
	transport *http.Transport
	http      *http.Client
	semaphore chan struct{}
	counters
}

// NewClient returns a client. It panics if the key or the node is empty.
func NewClient(opt ClientOptions) *Client {
	if opt.Key == "" || opt.Node == "" {
		panic("dogpeer: the peer key or the name of the node is empty")
	}
	if opt.Timeout == 0 {
		opt.Timeout = defaultTimeout
	}
	if opt.MaxConcurrent == 0 {
		opt.MaxConcurrent = defaultMaxConcurrent
	}
	if opt.MaxReadBytes == 0 {
		opt.MaxReadBytes = 4 << 20
	}
	if opt.MaxIdleConns == 0 {
		opt.MaxIdleConns = 64
	}
	t := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: opt.Timeout}).DialContext,
		DisableCompression:  true,
		MaxIdleConns:        opt.MaxIdleConns,
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     idleTimeout,
	}
	return &Client{
		opt:       opt,
		transport: t,
		http: &http.Client{
			Transport: t,
			// Following a redirect would send the key to another host.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		semaphore: make(chan struct{}, opt.MaxConcurrent),
	}
}

// call makes one call within the limit on its duration. It fails at once if the
// limit on concurrent calls is reached.
func call[Req, Resp any](
	ctx context.Context, c *Client, peer string, req *Req,
	method func(peerpbconnect.PeerClient, context.Context, *connect.Request[Req]) (*connect.Response[Resp], error),
) (*Resp, error) {
	c.calls.Add(1)
	select {
	case c.semaphore <- struct{}{}:
		defer func() { <-c.semaphore }()
	default:
		c.refused.Add(1)
		return nil, errTooManyCalls
	}
	ctx, cancel := context.WithTimeout(ctx, c.opt.Timeout)
	defer cancel()
	client := peerpbconnect.NewPeerClient(c.http, "http://"+peer,
		connect.WithReadMaxBytes(c.opt.MaxReadBytes),
		connect.WithAcceptCompression("gzip", nil, nil))
	r := connect.NewRequest(req)
	r.Header().Set(keyHeader, c.opt.Key)
	resp, err := method(client, ctx, r)
	if msg, ok := any(req).(proto.Message); ok {
		c.sent.Add(int64(proto.Size(msg)))
	}
	if err != nil {
		c.failures.Add(1)
		return nil, err
	}
	if msg, ok := any(resp.Msg).(proto.Message); ok {
		c.read.Add(int64(proto.Size(msg)))
	}
	return resp.Msg, nil
}

// Probe sends m to peer and returns the message of its response.
func (c *Client) Probe(ctx context.Context, peer string, m dogmember.Message) (dogmember.Message, error) {
	resp, err := call(ctx, c, peer, EncodeProbe(c.opt.Node, m), peerpbconnect.PeerClient.Probe)
	var out dogmember.Message
	if err == nil {
		out, err = DecodeProbeResponse(resp)
	}
	if err != nil {
		return dogmember.Message{}, fmt.Errorf("probe %s: %w", peer, err)
	}
	return out, nil
}

// ProbeVia asks the node at via to probe peer and reports whether peer is alive.
func (c *Client) ProbeVia(ctx context.Context, via, peer string) (bool, error) {
	req := &peerpb.ProbeViaRequest{From: c.opt.Node, Peer: peer}
	resp, err := call(ctx, c, via, req, peerpbconnect.PeerClient.ProbeVia)
	if err != nil {
		return false, fmt.Errorf("probe %s via %s: %w", peer, via, err)
	}
	return resp.GetAlive(), nil
}

// Notify sends the updates of m to peer.
func (c *Client) Notify(ctx context.Context, peer string, m dogmember.Message) error {
	if _, err := call(ctx, c, peer, EncodeNotify(c.opt.Node, m), peerpbconnect.PeerClient.Notify); err != nil {
		return fmt.Errorf("notify %s: %w", peer, err)
	}
	return nil
}

// Pull requests state from peer.
func (c *Client) Pull(ctx context.Context, peer string, req PullRequest) (PullResponse, error) {
	resp, err := call(ctx, c, peer, EncodePull(c.opt.Node, req), peerpbconnect.PeerClient.Pull)
	var out PullResponse
	if err == nil {
		out, err = DecodePullResponse(resp)
	}
	if err != nil {
		return PullResponse{}, fmt.Errorf("pull from %s: %w", peer, err)
	}
	return out, nil
}

// Promise asks the witness at peer for a promise.
func (c *Client) Promise(ctx context.Context, peer string, p PromiseRequest) (Grant, error) {
	resp, err := call(ctx, c, peer, encodePromise(p), peerpbconnect.PeerClient.Promise)
	var g Grant
	if err == nil {
		g, err = decodeGrant(resp.GetGranted(), resp.GetRefusal())
	}
	if err != nil {
		return Grant{}, fmt.Errorf("request promise from %s: %w", peer, err)
	}
	return g, nil
}

// HandOver sends one part of the records of a key range to its next owner, which
// is at peer.
func (c *Client) HandOver(ctx context.Context, peer string, h HandOverRequest) (Grant, error) {
	resp, err := call(ctx, c, peer, encodeHandOver(h), peerpbconnect.PeerClient.HandOver)
	var g Grant
	if err == nil {
		g, err = decodeGrant(resp.GetAccepted(), resp.GetRefusal())
	}
	if err != nil {
		return Grant{}, fmt.Errorf("hand over to %s: %w", peer, err)
	}
	return g, nil
}

// Counts returns the totals since the client was created.
func (c *Client) Counts() Counts { return c.counts() }

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }
