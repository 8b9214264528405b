// Package upstream holds the state of the upstreams that an instance routes to: load, pace,
// failures and weight versions.
//
// A Table holds one immutable Set for each deployment and replaces it as a whole on changes.
// An Upstream is carried over from one Set to the next and keeps its state in atomics, so
// choosing one takes no lock:
//
//	set := table.Set("order-desk")
//	u := set.Upstreams[i]
//	if u.Usable(now) && u.Load(now) < 1 { ... }
package upstream
