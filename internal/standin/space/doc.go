// Package space implements keyvalue.Space in memory, for tests: a key-value
// service with prefixes, transactions, leases and watches.
//
//	s := &space.Space{Timer: clock}
//	s.Fault = func(call space.Call) space.Fault { return space.LostAfter }
//
// A Space behaves like a service with a single replica: it has one revision
// counter, and compares the conditions of a transaction and applies its writes
// under one lock. The function Space.Fault selects the failure of each Call.
package space
