// Package coordinator serves calls about batches at any instance and takes over the
// batches of lost instances.
//
//	err := c.Submit(ctx, sub, route)
//	page, err := c.Read(ctx, id, after, wait)
//	err = c.End(ctx, id)
//
// Coordinator is the main type. Each model has a home, the eligible instance that ranks
// first for it by rendezvous hashing. All batches of the model are accepted and run
// there as long as it answers; the other instances forward calls to the owner of a
// batch, over Peers. When the owner can't be reached, one instance, the ledger reader
// of the batch, reads it from the ledger on behalf of all. A batch is reported as not
// found only after the ledger has said so.
//
// Run looks for batches without a live owner. The successor of a lost owner, which
// is the eligible instance that ranks first for the owner's name, takes them over.
// RunCleanup removes ended batches from the ledger.
package coordinator
