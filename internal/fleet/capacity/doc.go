// Package capacity decides how many engines there should be in each failure domain, and
// orders them.
//
// The decision is a function of what is observed:
//
//	targets := capacity.Decide(capacity.Group{
//		Slots: 8,
//		Most:  24,
//		Work:  640,
//		Domains: []capacity.Domain{{
//			Name:    "gent-a",
//			Price:   0.9,
//			Lasting: 12,
//		}},
//	})
//
// A step brings all its items at once, and its longest item ends it. One that waits for
// a slot while others run is begun late, so there should be slots for all items of the
// steps that trainers ask for again and again. The engines beyond the lasting ones, which
// are the operators' to remove, are of the reclaimable kind: cheap, and taken away with
// short notice, a whole failure domain at a time. They are spread over all domains.
package capacity
