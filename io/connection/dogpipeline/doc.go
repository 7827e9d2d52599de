// Package dogpipeline serves HTTP/1.1 to clients that send further requests on a
// connection before they have received the response to an earlier one.
//
// Requests without a body and with a safe method run at the same time; any other
// request waits until the responses to all earlier requests have been written, and
// holds up those behind it. Responses are written in the order of the requests. The
// server notices that a client has closed its connection while its requests run,
// and cancels their contexts. It also looks for that before it calls a handler, and
// before a body ends for its handler: a process that lacks processor time may read a
// request long after its client has left.
//
// A response that closes the connection is the last one: the server reads no
// request behind it. Clients may therefore send what they had sent behind it again.
// A handler that must not run a request twice calls AwaitTurn first, because the
// response to an earlier request may still break off the connection.
//
// What clients can make a server hold is bounded: the bytes and the time of a head, the
// memory of all heads together, the connections, and the time for which a client sends
// nothing of a body or reads nothing of a response. At a bound the server turns away those
// that have held most for longest without a complete request.
//
// # Usage
//
//	srv := &dogpipeline.Server{Handler: handler, IdleTimeout: time.Minute, MaxConns: 1000}
//	err := srv.Serve(ln)
package dogpipeline
