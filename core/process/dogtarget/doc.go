// Package dogtarget tracks the target beside a node by its heartbeats.
//
// An incarnation of a target is identified by its id and the time of its start.
// Heartbeats can arrive late, after the target has been replaced, or from
// another writer, so each is compared with the last accepted one. A node that
// has just started sends its target no requests before the first heartbeat.
//
// # Usage
//
//	w := dogtarget.New(dogtarget.Options{Service: "rounds", Address: "10.1.0.8:8301", Silence: 5 * time.Second})
//	switch w.Observe(now, heartbeat) {
//	case dogtarget.Accepted, dogtarget.Outdated:
//		// Acknowledge the heartbeat.
//	case dogtarget.Foreign:
//		// Refuse it.
//	}
//	if t, ok := w.Current(now); ok {
//		// t may be sent requests.
//	}
package dogtarget
