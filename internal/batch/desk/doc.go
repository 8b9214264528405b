// Package desk answers the calls about batches at any instance.
//
//	err := d.Submit(ctx, sub, route)
//	page, err := d.Read(ctx, id, after, wait)
//
// All batches of a model are accepted and run by one able instance, as long as it
// answers. Any other passes calls on to it. When the owner can't be reached one
// instance reads the batch from the ledger on behalf of all. It says that there is no such
// batch only after the ledger said so. The desk also finds batches whose owner
// is gone: the instance that ranks first for the dead one takes them over.
package desk
