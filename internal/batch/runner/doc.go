// Package runner runs the batches that this process owns.
//
//	err := r.Submit(ctx, sub)              // accepted and under way, or ErrExists
//	page, err := r.Read(ctx, id, 0, wait)  // ErrNotHere if another process has it
//	err = r.End(ctx, id)
//
// Each item is a stream of events at an engine. A stream that breaks or falls
// behind goes on at another engine after its last whole event. A finished text
// is scored, written to the ledger, and only then listed: what was read once
// must be there after any crash. A batch whose owner is gone is taken over with
// what the ledger has of it.
package runner
