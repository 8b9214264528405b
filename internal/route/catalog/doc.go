// Package catalog holds what operators configured and which upstreams stand
// behind it: routes by host and path prefix, services, limits of the doors, and
// the upstreams of each service with their state.
//
//	cfg := holder.Current()
//	route, ok := cfg.Find("orders.example", "/confirm/17")
//	set := book.Service(route.Choose(random))
//
// Configurations only go up in version. An upstream that is leaving, by its
// own word or because its entry is gone, can't be unmarked: it gets no new work
// in this life.
package catalog
