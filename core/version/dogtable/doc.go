// Package dogtable holds the routing table: which service runs a request, how
// long it may take, and how important it is.
//
// A Table is immutable and belongs to one version of the configuration. A
// Holder keeps the newest table and refuses older ones.
//
// # Usage
//
//	t, err := dogtable.New(version, routes, limits)
//	if err != nil {
//		// The configuration is not usable; the previous one stays in force.
//	}
//	route, ok := t.Lookup("shop.example", "/orders/17")
//	service := split.Choose(route)
package dogtable
