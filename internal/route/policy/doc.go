// Package policy chooses an upstream for a request.
//
// A Policy is a pure function of a set, a query and the time, so a decision
// can be explained and repeated afterwards:
//
//	p, err := policy.Find("two_choices")
//	choice := p.Choose(set, policy.Query{Random: r.Uint64(), Now: now})
//
// Policies register themselves; adding one is one new file in this package.
// A choice takes no lock and allocates nothing.
package policy
