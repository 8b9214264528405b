// Package upstream keeps what an instance knows of the upstreams that it
// routes to.
//
// A Table holds one immutable Set for each deployment and replaces it as a
// whole. The Upstreams in a Set live on from Set to Set and carry counters
// that change by atomics, so choosing one takes no lock:
//
//	set := table.Set("order-desk")
//	u := set.Upstreams[i]
//	if u.Usable(now) && u.Load(now) < 1 { ... }
package upstream
