// Package policy chooses the upstream that runs a request.
//
// A Policy depends only on an upstream set, a query and the upstreams' current state,
// with its randomness and the time passed in the query, so that a choice can be
// explained and reproduced:
//
//	p, err := policy.Find("two_choices")
//	if err != nil {
//		return err
//	}
//	choice := p.Choose(set, policy.Query{Random: rand.Uint64(), Now: now})
//
// Each policy registers itself in an init function; a new one is one new file in this
// package. Choosing takes no lock and allocates nothing.
package policy
