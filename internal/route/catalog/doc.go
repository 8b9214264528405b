// Package catalog holds the configuration set by operators and the upstreams of each service.
// A Configuration has the routes by host and path prefix, the services, the organisations and
// the limits for requests; Upstreams has the upstreams with their state.
//
//	cfg := holder.Current()
//	route, ok := cfg.Find("orders.example", "/confirm/17")
//	group := upstreams.Group(route.ChooseService(random))
//
// A Holder only replaces a configuration by one of a higher version. An upstream that is
// leaving, because it said so or because its entry was removed, gets no new work; the mark can't
// be removed within the same incarnation.
package catalog
