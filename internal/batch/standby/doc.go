// Package standby keeps copies of the batches that other instances run, and finds
// out soon when such an owner is lost.
//
//	s := &standby.Sender{Self: self, Work: runner, ...}     // at each owner
//	t.Go(func() error { return s.Run(t) })
//	w := &standby.Watcher{Copies: copies, Lost: inherit, ...} // at each successor
//	t.Go(func() error { return w.Run(t) })
//	c, ok := copies.Find(batch)                              // what the owner had made
//
// An owner sends what is new of its batches to its successors some times a second.
// The messages are heartbeats as well. A successor that misses them asks the owner
// and some other instances; when all agree that it is lost, the successor ends its
// lease and takes its batches over with the texts that the copies hold.
//
// A copy is a cache: the ledger alone decides whose a batch is and what is listed.
package standby
