// Package space is a stand-in of a key-value service with prefixes,
// transactions, leases and watches, in memory.
//
//	s := &space.Space{Timer: clock}
//	s.Fault = func(call space.Call) space.Fault { return space.LostAfter }
//
// Its answers are those of one copy: a revision counter, conditions compared and
// changes made under one lock. Fault decides for each call what goes wrong.
package space
