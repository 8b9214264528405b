// Package ledger keeps batches in the key-value service.
//
//	claim, err := ledger.Accept(ctx, sub)     // before the trainer hears of it
//	claim, err = ledger.Append(ctx, claim, results)
//	err = ledger.End(ctx, id)
//
// A batch is accepted by one transaction on keys that must not exist. Whoever
// holds the batch may append: each chunk of results is written only if the
// claim stands at its revision and the chunk does not exist, so an owner that
// was paused while another one took over can't change a position. A write
// without an answer is read back before anything is said about it.
package ledger
