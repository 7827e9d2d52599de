// Package doghttp provides the HTTP handlers of the request path.
//
//   - Entry serves requests from callers: it checks the credential, limits the
//     claims to what the contract allows, refuses early, and sends idempotent
//     requests to a guard and others to the owner of their key range.
//   - Exit serves child calls of the node's own target, and charges them to the
//     retry budget of the request in progress that they name.
//   - Peer serves calls from other nodes. A call that carries a key and no epoch
//     is for the owner; all others are for the guard, which queues the call and
//     sends it to the target.
//
// Bodies stream in bounded memory in both directions; at most 64 KiB of a
// request body is buffered, for the digest and for a further attempt. If an
// answer ends prematurely, the answer to the caller is aborted.
//
// # Usage
//
//	h := doghttp.New(doghttp.Config{ ... })
//	http.Server{Handler: h.Entry()}
//
// The handlers make no decision that can be made elsewhere: choice of target,
// admission, records, ownership and contracts are behind the interfaces in
// this package and in the root package. The package opens no listener.
package doghttp
