// Package desk answers the calls about batches at any instance.
//
//	err := d.Submit(ctx, sub, route)
//	page, err := d.Read(ctx, id, after, wait)
//
// The instance that accepted a batch runs it. Any other passes calls on to it,
// and reads the ledger when it can't be reached. It says that there is no such
// batch only after the ledger said so. The desk also finds batches whose owner
// is gone: the instance that ranks first for the dead one takes them over.
package desk
