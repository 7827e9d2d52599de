package dogpeer

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"dogwoodford/core/process/dogmember"
	"dogwoodford/io/process/dogpeer/peerpb"
	"dogwoodford/io/process/dogpeer/peerpb/peerpbconnect"
)

// keyHeader is the HTTP header that carries the peer key.
const keyHeader = "Dogwoodford-Peer-Key"

var (
	errPeerKey      = eris.New("peer key is missing or wrong")
	errTooManyCalls = eris.New("too many concurrent calls")
)

// Handler answers the calls of peers. Implementations must be safe for concurrent
// use and must not retain the values passed to them. Their errors reach the caller
// as connect.CodeUnavailable.
type Handler interface {
	Probe(ctx context.Context, from string, m dogmember.Message) (dogmember.Message, error)
	ProbeVia(ctx context.Context, from, peer string) (alive bool, err error)
	Notify(ctx context.Context, from string, m dogmember.Message) error
	Pull(ctx context.Context, from string, req PullRequest) (PullResponse, error)
	Promise(ctx context.Context, p PromiseRequest) (Grant, error)
	HandOver(ctx context.Context, h HandOverRequest) (Grant, error)
}

// ServerOptions configure a Server. Zero values take the defaults given at the end
// of the comments.
type ServerOptions struct {
	Key           string        // Peer key of the settings.
	Timeout       time.Duration // Limit on the duration of a call; 2 s.
	MaxConcurrent int           // Limit on concurrent calls, beyond which calls are refused; 256.
	MaxReadBytes  int           // Size of the largest request accepted; 1 MiB.
}

// Counts are the totals of a client or server since its creation, for metrics.
type Counts struct {
	Calls     int64
	Failures  int64 // Calls that ended with an error.
	Refused   int64 // Calls refused at the limit on concurrent calls.
	BytesSent int64 // Size of the encoded messages, without headers.
	BytesRead int64
}

type counters struct{ calls, failures, refused, sent, read atomic.Int64 }

func (c *counters) counts() Counts {
	return Counts{
		Calls:     c.calls.Load(),
		Failures:  c.failures.Load(),
		Refused:   c.refused.Load(),
		BytesSent: c.sent.Load(),
		BytesRead: c.read.Load(),
	}
}

// Server is the HTTP handler of the Peer service. It is safe for concurrent use.
type Server struct {
	handler   Handler
	opt       ServerOptions
	key       [sha256.Size]byte
	semaphore chan struct{}
	counters
	next   http.Handler
	writer *connect.ErrorWriter
}

// NewHandler returns the path of the Peer service and the handler to register for
// it. It panics if the key is empty.
func NewHandler(h Handler, opt ServerOptions) (string, *Server) {
	if opt.Key == "" {
		panic("dogpeer: the peer key is empty")
	}
	if opt.Timeout == 0 {
		opt.Timeout = defaultTimeout
	}
	if opt.MaxConcurrent == 0 {
		opt.MaxConcurrent = defaultMaxConcurrent
	}
	if opt.MaxReadBytes == 0 {
		opt.MaxReadBytes = 1 << 20
	}
	s := &Server{
		handler:   h,
		opt:       opt,
		key:       sha256.Sum256([]byte(opt.Key)),
		semaphore: make(chan struct{}, opt.MaxConcurrent),
		writer:    connect.NewErrorWriter(),
	}
	path, next := peerpbconnect.NewPeerHandler(service{s}, connect.WithReadMaxBytes(opt.MaxReadBytes))
	s.next = next
	return path, s
}

// Counts returns the totals since the server was created.
func (s *Server) Counts() Counts { return s.counts() }

// ServeHTTP checks the key and the limit on concurrent calls before it reads any
// part of the message.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.calls.Add(1)
	// Hashes have a fixed length, so the comparison does not reveal the length of
	// the key.
	got := sha256.Sum256([]byte(r.Header.Get(keyHeader)))
	if subtle.ConstantTimeCompare(got[:], s.key[:]) != 1 {
		s.refuse(w, r, connect.NewError(connect.CodeUnauthenticated, errPeerKey))
		return
	}
	select {
	case s.semaphore <- struct{}{}:
		defer func() { <-s.semaphore }()
	default:
		s.refused.Add(1)
		s.refuse(w, r, connect.NewError(connect.CodeResourceExhausted, errTooManyCalls))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), s.opt.Timeout)
	defer cancel()
	// The context does not interrupt the read of a message that arrives
	// slowly; the read deadline of the connection does.
	deadline, _ := ctx.Deadline()
	_ = http.NewResponseController(w).SetReadDeadline(deadline)
	s.next.ServeHTTP(w, r.WithContext(ctx))
}

func (s *Server) refuse(w http.ResponseWriter, r *http.Request, err error) {
	s.failures.Add(1)
	// Close the connection rather than read a body of unknown size.
	w.Header().Set("Connection", "close")
	_ = s.writer.Write(w, r, err)
}

// service implements the generated service. It converts between messages and
// values and calls the handler.
type service struct{ s *Server }

// respond counts the bytes and the failure of a call and converts its error to a
// connect error.
func respond[T any](s *Server, req proto.Message, resp *T, err error) (*connect.Response[T], error) {
	s.read.Add(int64(proto.Size(req)))
	if err != nil {
		s.failures.Add(1)
		if errors.Is(err, ErrMalformed) {
			return nil, connect.NewError(connect.CodeInvalidArgument, err)
		}
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	if msg, ok := any(resp).(proto.Message); ok {
		s.sent.Add(int64(proto.Size(msg)))
	}
	return connect.NewResponse(resp), nil
}

func (v service) Probe(ctx context.Context, r *connect.Request[peerpb.ProbeRequest]) (*connect.Response[peerpb.ProbeResponse], error) {
	from, m, err := DecodeProbe(r.Msg)
	var out dogmember.Message
	if err == nil {
		out, err = v.s.handler.Probe(ctx, from, m)
	}
	return respond(v.s, r.Msg, EncodeProbeResponse(out), err)
}

func (v service) ProbeVia(ctx context.Context, r *connect.Request[peerpb.ProbeViaRequest]) (*connect.Response[peerpb.ProbeViaResponse], error) {
	err := firstError(checkName("sender", r.Msg.GetFrom()), checkPeer(r.Msg.GetPeer()))
	alive := false
	if err == nil {
		alive, err = v.s.handler.ProbeVia(ctx, r.Msg.GetFrom(), r.Msg.GetPeer())
	}
	return respond(v.s, r.Msg, &peerpb.ProbeViaResponse{Alive: alive}, err)
}

func (v service) Notify(ctx context.Context, r *connect.Request[peerpb.NotifyRequest]) (*connect.Response[peerpb.NotifyResponse], error) {
	from, m, err := DecodeNotify(r.Msg)
	if err == nil {
		err = v.s.handler.Notify(ctx, from, m)
	}
	return respond(v.s, r.Msg, &peerpb.NotifyResponse{}, err)
}

func (v service) Pull(ctx context.Context, r *connect.Request[peerpb.PullRequest]) (*connect.Response[peerpb.PullResponse], error) {
	from, req, err := DecodePull(r.Msg)
	var out PullResponse
	if err == nil {
		out, err = v.s.handler.Pull(ctx, from, req)
	}
	return respond(v.s, r.Msg, EncodePullResponse(out), err)
}

func (v service) Promise(ctx context.Context, r *connect.Request[peerpb.PromiseRequest]) (*connect.Response[peerpb.PromiseResponse], error) {
	p, err := decodePromise(r.Msg)
	var g Grant
	if err == nil {
		g, err = v.s.handler.Promise(ctx, p)
	}
	return respond(v.s, r.Msg, &peerpb.PromiseResponse{Granted: g.OK, Refusal: truncateRefusal(g.Refusal)}, err)
}

func (v service) HandOver(ctx context.Context, r *connect.Request[peerpb.HandOverRequest]) (*connect.Response[peerpb.HandOverResponse], error) {
	h, err := decodeHandOver(r.Msg)
	var g Grant
	if err == nil {
		g, err = v.s.handler.HandOver(ctx, h)
	}
	return respond(v.s, r.Msg, &peerpb.HandOverResponse{Accepted: g.OK, Refusal: truncateRefusal(g.Refusal)}, err)
}
