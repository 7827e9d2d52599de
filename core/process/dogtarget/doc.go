// Package dogtarget follows the target beside a node through its heartbeats.
//
// A target is known by its id and the time of its start. Heartbeats can arrive
// late, after the target has been replaced, or from another writer, so each is
// compared with what is known already. A node that has just started knows
// nothing and sends its target nothing until the first heartbeat.
//
// # Usage
//
//	w := dogtarget.New(dogtarget.Options{Service: "rounds", Address: "10.1.0.8:8301", Silence: 5 * time.Second})
//	switch w.Observe(now, report) {
//	case dogtarget.Accepted, dogtarget.Outdated:
//		// Acknowledge the heartbeat.
//	case dogtarget.Foreign:
//		// Refuse it.
//	}
//	if t, ok := w.Current(now); ok {
//		// t may be sent requests.
//	}
package dogtarget
