package ledger

import (
	"context"
	"encoding/json"
	"errors"
	"unicode/utf8"

	"github.com/egretbend/egretbend/internal/batch/submission"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
)

// Append writes the next chunk of results together with the progress of long items, and
// returns the updated claim. It returns ErrFenced if the batch has another owner or is
// ended. After any other error the caller must write the chunk again with exactly the
// same results.
func (l *Ledger) Append(ctx context.Context, c Claim, results []submission.Result, progress []submission.Progress) (Claim, error) {
	tx, err := c.newTransaction(progress)
	if err != nil {
		return c, err
	}
	chunk, err := c.addChunk(&tx, results)
	if err != nil {
		return c, err
	}
	_, err = l.Store.Commit(ctx, tx)
	if err = checkAppended(err, chunk); err != nil {
		return c, err
	}
	c.Chunks++
	return c, nil
}

// newTransaction returns a transaction that writes progress on condition that the claim
// is unchanged.
func (c Claim) newTransaction(progress []submission.Progress) (keyvalue.Transaction, error) {
	tx := keyvalue.Transaction{
		Expects: []keyvalue.Condition{
			{Key: openPrefix + c.Batch, Revision: c.Revision},
		},
	}
	progress = fittingProgress(progress)
	if len(progress) == 0 {
		return tx, nil
	}
	data, err := json.Marshal(progress)
	tx.Writes = append(tx.Writes, keyvalue.Write{
		Key:   progressKey(c.Batch),
		Value: data,
	})
	return tx, err
}

// addChunk adds the next chunk of results to a transaction and returns its write.
func (c Claim) addChunk(tx *keyvalue.Transaction, results []submission.Result) (keyvalue.Write, error) {
	data, err := json.Marshal(results)
	chunk := keyvalue.Write{
		Key:   chunkKey(c.Batch, c.Chunks),
		Value: data,
	}
	tx.Expects = append(tx.Expects, keyvalue.Condition{
		Key: chunk.Key,
	})
	tx.Writes = append(tx.Writes, chunk)
	return chunk, err
}

// resultOverheadBytes is the size of a stored result without its text: field names,
// the item's ID, versions and score.
const resultOverheadBytes = 256

// ChunkLen returns how many of the leading results make one chunk: as many as fit into
// one value, and at least one.
func ChunkLen(results []submission.Result) int {
	size := 0
	for i, r := range results {
		size += storedLen(r.Text) + resultOverheadBytes
		if size > maxValueBytes && i > 0 {
			return i
		}
	}
	return len(results)
}

// storedLen returns the length of a text in a stored value, without its quotes: JSON escapes some
// characters, one of which may take six bytes.
func storedLen(text string) int {
	const hexEscape = len(`\u003c`)
	n := 0
	for _, c := range text {
		switch {
		case c == '"', c == '\\', c == '\n', c == '\r', c == '\t', c == '\b', c == '\f':
			n += len(`\n`)
		case c < ' ', c == '<', c == '>', c == '&', c == '\u2028', c == '\u2029', c == utf8.RuneError:
			n += hexEscape
		default:
			n += utf8.RuneLen(c)
		}
	}
	return n
}

// eventOverheadBytes is the size of a stored event without its text.
const eventOverheadBytes = 4

// fittingProgress returns the leading entries that fit into one value together. The
// others are generated again if the instance that owns the batch is lost. The longest
// come first, as the step waits for them.
func fittingProgress(progress []submission.Progress) []submission.Progress {
	size := 0
	for i, p := range progress {
		for _, e := range p.Events {
			size += storedLen(e) + eventOverheadBytes
		}
		if size > maxValueBytes {
			return progress[:i]
		}
	}
	return progress
}

// checkAppended returns the outcome of writing a chunk whose transaction returned err. A
// conflict is no error if the stored chunk is the same: an earlier attempt whose answer
// was lost has written it.
func checkAppended(err error, chunk keyvalue.Write) error {
	var conflict *keyvalue.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	if string(conflict.Item(chunk.Key).Value) != string(chunk.Value) {
		return ErrFenced
	}
	return nil
}

// HandOver makes another process the owner of a batch and writes the last results and
// the progress of this process. It returns ErrFenced if the batch has another owner
// already or is ended.
func (l *Ledger) HandOver(ctx context.Context, c Claim, to Owner, results []submission.Result, progress []submission.Progress) error {
	tx, err := c.newTransaction(progress)
	if err == nil && len(results) > 0 {
		_, err = c.addChunk(&tx, results)
	}
	if err != nil {
		return err
	}
	owner, err := encodeClaim(to, c.Binding)
	if err != nil {
		return err
	}
	tx.Writes = append(tx.Writes, keyvalue.Write{
		Key:   openPrefix + c.Batch,
		Value: owner,
	})
	_, err = l.Store.Commit(ctx, tx)
	if errors.Is(err, keyvalue.ErrConflict) {
		return ErrFenced
	}
	return err
}
