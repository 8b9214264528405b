// Package standby replicates the unstored texts of running batches to the successors
// of their owners, and detects lost owners before their leases expire.
//
//	s := &standby.Sender{Self: self, Work: runner, ...}          // at each owner
//	t.Go(func() error { return s.Run(t) })
//	w := &standby.Watcher{Copies: copies, OnLost: takeOver, ...} // at each successor
//	t.Go(func() error { return w.Run(t) })
//	c, ok := copies.Find(batch)                                  // the owner's results and texts
//
// A Sender sends the changes of its batches to the successors of its instance several
// times a second. The messages also serve as heartbeats. Copies holds what a successor
// has received. A Watcher that misses heartbeats asks the owner, and has some other
// instances ask it too; Evidence decides from the answers whether the owner is lost. If
// so, the successor revokes the owner's lease and takes over its batches with the texts
// in the copies. Finder fetches a copy that another instance holds.
//
// A copy is only a cache: the ledger alone determines who owns a batch and which results
// are listed.
package standby
