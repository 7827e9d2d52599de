// Package dogtable holds the routing table, which states for each request the
// service that runs it, its timeout and its priority.
//
// A Table is immutable and belongs to one version of the configuration. A
// Holder keeps the newest table and ignores older ones. A Split distributes the
// requests of a route among its backends.
//
// # Usage
//
//	t, err := dogtable.New(dogtable.Spec{Version: version, Routes: routes, Services: services, Limits: limits})
//	if err != nil {
//		// The configuration is invalid; the previous one stays in force.
//	}
//	route, ok := t.Lookup("shop.example", "/orders/17")
//	service := split.Choose(route)
package dogtable
