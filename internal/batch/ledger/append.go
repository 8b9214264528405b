package ledger

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/egretbend/egretbend/internal/batch/submission"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
)

// Append writes the next chunk of results, and the progress of long items beside
// it, and returns the claim with it. It returns ErrFenced when the batch has
// another owner or is ended. Any other error leaves the chunk to be written
// again with the very same results.
func (l *Ledger) Append(ctx context.Context, c Claim, results []submission.Result, progress []submission.Progress) (Claim, error) {
	tx, err := c.write(progress)
	if err != nil {
		return c, err
	}
	chunk, err := c.addChunk(&tx, results)
	if err != nil {
		return c, err
	}
	_, err = l.Space.Commit(ctx, tx)
	if err = stood(err, chunk); err != nil {
		return c, err
	}
	c.Chunks++
	return c, nil
}

// write returns a transaction that writes progress if the claim still stands.
func (c Claim) write(progress []submission.Progress) (keyvalue.Transaction, error) {
	tx := keyvalue.Transaction{
		Expects: []keyvalue.Expect{
			{Key: openPrefix + c.Batch, Revision: c.Revision},
		},
	}
	progress = fitting(progress)
	if len(progress) == 0 {
		return tx, nil
	}
	partial, err := json.Marshal(progress)
	tx.Writes = append(tx.Writes, keyvalue.Write{
		Key:   progressKey(c.Batch),
		Value: partial,
	})
	return tx, err
}

// addChunk adds the next chunk to a transaction and returns it.
func (c Claim) addChunk(tx *keyvalue.Transaction, results []submission.Result) (keyvalue.Write, error) {
	data, err := json.Marshal(results)
	chunk := keyvalue.Write{
		Key:   chunkKey(c.Batch, c.Chunks),
		Value: data,
	}
	tx.Expects = append(tx.Expects, keyvalue.Expect{
		Key: chunk.Key,
	})
	tx.Writes = append(tx.Writes, chunk)
	return chunk, err
}

// resultOverhead is what a result takes beside its text in the stored form: its
// names, versions and score.
const resultOverhead = 256

// Fitting returns how many of the first of some results make one chunk: as many
// as fit one value, and one at least.
func Fitting(results []submission.Result) int {
	size := 0
	for i, r := range results {
		size += len(r.Text) + resultOverhead
		if size > partBytes && i > 0 {
			return i
		}
	}
	return len(results)
}

// eventOverhead is what an event takes beside its text in the stored form.
const eventOverhead = 4

// fitting returns the first of some texts that fit one value together. What does
// not fit is made again after the loss of the batch's instance; the longest come
// first, as the step waits for them.
func fitting(progress []submission.Progress) []submission.Progress {
	size := 0
	for i, p := range progress {
		for _, e := range p.Events {
			size += len(e) + eventOverhead
		}
		if size > partBytes {
			return progress[:i]
		}
	}
	return progress
}

// stood returns the outcome of writing a chunk: it may stand from an earlier
// try whose answer was lost.
func stood(err error, chunk keyvalue.Write) error {
	var conflict *keyvalue.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	if string(conflict.Item(chunk.Key).Value) != string(chunk.Value) {
		return ErrFenced
	}
	return nil
}

// HandOver makes another process the owner of a batch, with the last results
// and the progress of this one. It returns ErrFenced when the batch has another
// owner already or is ended.
func (l *Ledger) HandOver(ctx context.Context, c Claim, to Owner, results []submission.Result, progress []submission.Progress) error {
	tx, err := c.write(progress)
	if err == nil && len(results) > 0 {
		_, err = c.addChunk(&tx, results)
	}
	if err != nil {
		return err
	}
	owner, err := json.Marshal(to)
	if err != nil {
		return err
	}
	tx.Writes = append(tx.Writes, keyvalue.Write{
		Key:   openPrefix + c.Batch,
		Value: owner,
	})
	_, err = l.Space.Commit(ctx, tx)
	if errors.Is(err, keyvalue.ErrConflict) {
		return ErrFenced
	}
	return err
}
