// Package capacity scales the engine groups: it decides how many engines each failure
// domain should have, and orders them from the platform.
//
// Demand keeps the sizes of recent steps. Orderer observes the groups each second and
// orders engines to reach the targets. The targets depend only on what is observed:
//
//	targets := capacity.Targets(capacity.Group{
//		Slots:        8,
//		MaxPerDomain: 24,
//		Items:        640,
//		Domains: []capacity.Domain{{
//			Name:     "gent-a",
//			Price:    0.9,
//			OnDemand: 12,
//		}},
//	})
//
// All items of a step arrive at once, and the step ends with its longest item. An item
// that waits for a slot starts late, so there should be slots for all items of the steps
// that trainers request repeatedly.
//
// Engines are of two kinds. On-demand engines are added and removed by operators.
// Reclaimable engines (spot capacity) are ordered by this package: they are cheap, but
// the platform takes them back at short notice, a whole failure domain at a time. They
// are therefore spread over all domains.
package capacity
