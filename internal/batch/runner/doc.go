// Package runner runs the batches that this process owns.
//
//	err := r.Submit(ctx, sub, route)      // accepted and started, or ledger.ErrExists
//	page, err := r.Read(ctx, id, 0, wait) // ErrNotRunHere if another process runs it
//	err = r.End(ctx, id)
//
// A Runner starts one attempt for each item of a Batch: the Generator streams the
// events of the item's text from an engine. If the stream breaks or falls behind, the
// item continues at another engine after its last complete event. The Scorer scores a
// finished text; its result is then written to the ledger and only after that listed
// for reads, because a result that was read once must still be there after any crash.
// If the owner of a batch is lost, another process takes the batch over with what the
// ledger and the copies at its successors hold.
package runner
