// Package doghttp holds the HTTP handlers on the path of a request.
//
//   - Entry takes requests from callers: it checks the credential, bounds the
//     claims by the contract, refuses early, and sends idempotent requests to a
//     guard and others to the owner of their key range.
//   - Exit takes child calls of the node's own target, and charges them to the
//     request in progress that they name.
//   - Peer takes calls of other nodes. A call that carries a key and no epoch
//     is for the owner; all others are for the guard, which queues the call and
//     sends it to the target.
//
// Bodies stream in bounded memory in both directions; at most 64 KiB of a
// request body is kept, for the digest and for a further attempt. An answer
// that breaks off ends the answer to the caller with an abort.
//
// # Usage
//
//	h := doghttp.New(doghttp.Config{ ... })
//	http.Server{Handler: h.Entry()}
//
// The handlers decide nothing that can be decided elsewhere: choice of target,
// admission, records, ownership and contracts are behind the interfaces in
// this package and in the root package. The package opens no listener.
package doghttp
