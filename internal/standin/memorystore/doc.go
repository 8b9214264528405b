// Package memorystore implements keyvalue.TransactionalStore in memory, for tests: a
// key-value service with prefixes, transactions, leases and watches.
//
//	s := &memorystore.Store{Timer: clock}
//	s.Fault = func(call memorystore.Operation) memorystore.Fault { return memorystore.LostAfter }
//
// A Store behaves like a service with a single replica: it has one revision
// counter, and compares the conditions of a transaction and applies its writes
// under one lock. The function Store.Fault selects the failure of each Operation.
package memorystore
