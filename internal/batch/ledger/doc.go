// Package ledger stores batches in the key-value service: the submission, who runs the
// batch, its results so far, and the progress of its unfinished items. Ledger has the
// operations; a Claim is an open batch with its owner, and a Record all that is stored
// of a batch.
//
//	claim, err := ledger.Accept(ctx, sub) // before the trainer gets an answer
//	claim, err = ledger.Append(ctx, claim, results, progress)
//	err = ledger.End(ctx, id, now)
//
// A batch is accepted by one transaction on keys that must not exist. Only the owner of
// a batch may append: each chunk of results is written only if the claim still has the
// revision that the owner knows and the chunk does not exist yet, so an owner that was
// paused while another one took over can't change the result at a position. After a
// write without an answer, the outcome is read back before anything is reported about
// it.
package ledger
