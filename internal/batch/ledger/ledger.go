package ledger

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/egretbend/egretbend/internal/batch/submission"
	"github.com/egretbend/egretbend/internal/kernel/journal"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
)

// Key prefixes of the ledger.
const (
	openPrefix  = "egretbend/open/"
	batchPrefix = "egretbend/batch/"
	endedPrefix = "egretbend/ended/"
)

// maxValueBytes is the largest amount of data written into one value. The service takes
// a megabyte, and its answers to a listing are cut at about as much.
const maxValueBytes = 512 << 10

// maxParts is the largest number of parts of a submission; it leaves room in the
// transaction for the claim.
const maxParts = keyvalue.MaxEntries/2 - 2

// How often the outcome of a write without an answer is looked up, and the pause between
// two lookups.
const (
	resolveAttempts = 4
	resolvePause    = 150 * time.Millisecond
)

// endAttempts is how often the end of a batch is tried whose claim changes meanwhile, or
// whose outcome is unknown.
const endAttempts = 4

// Errors of the operations.
var (
	// ErrExists means that the batch was accepted before: another process owns it, or it
	// is ended.
	ErrExists = errors.New("the batch was accepted before")
	// ErrUnknown means that there is no such batch.
	ErrUnknown = errors.New("no such batch")
	// ErrUnreadable means that what is stored was not written by an instance of this release.
	ErrUnreadable = errors.New("the stored value can't be read; it was written by another release or another writer")
	// ErrOutcomeUnknown means that the outcome of a write is unknown: it may have been done,
	// or may still be done later.
	ErrOutcomeUnknown = errors.New("it is not known whether the write was done")
	// ErrFenced means that another process owns the batch now, or that the batch is
	// ended.
	ErrFenced = errors.New("the batch has another owner or is ended")
	// ErrTooLarge means that the batch does not fit into one transaction of the service.
	ErrTooLarge = errors.New("the batch is larger than the key-value service takes")
)

// Record is everything that is stored of a batch.
type Record struct {
	Submission *submission.Submission
	Results    []submission.Result
	Progress   []submission.Progress
	Chunks     int
	// Ended reports that the batch is ended and does not change any more.
	Ended bool
}

// Ledger reads and writes batches on behalf of one process.
type Ledger struct {
	Store keyvalue.TransactionalStore
	Self  Owner
	// Pause waits between two lookups of a write without an answer.
	Pause func(time.Duration)
	// Journal logs entries that can't be read; it may be nil.
	Journal *journal.Journal
}

// logUnreadable logs once that the entry of a key can't be read; with a nil err it can.
func (l *Ledger) logUnreadable(key string, err error) {
	l.Journal.WarnOnce("stored entry left out", key, err, log.Fields{
		"key": key,
	})
}

// HoldsBatch reports whether the value of a key has bodies, results or texts of a batch.
func HoldsBatch(key string) bool { return strings.HasPrefix(key, batchPrefix) }

func partKey(id string, n int) string  { return fmt.Sprintf("%s%s/part/%02d", batchPrefix, id, n) }
func endKey(id string) string          { return batchPrefix + id + "/end" }
func progressKey(id string) string     { return batchPrefix + id + "/progress" }
func chunkKey(id string, n int) string { return fmt.Sprintf("%s%s/result/%06d", batchPrefix, id, n) }

// Accept stores a complete batch with this process as its owner.
func (l *Ledger) Accept(ctx context.Context, sub *submission.Submission) (Claim, error) {
	data, err := sub.Encode()
	if err != nil {
		return Claim{}, err
	}
	owner, err := encodeClaim(l.Self, sub.Binding())
	if err != nil {
		return Claim{}, err
	}
	tx := keyvalue.Transaction{
		Expects: []keyvalue.Condition{
			{Key: openPrefix + sub.ID},
			{Key: partKey(sub.ID, 0)},
		},
		Writes: []keyvalue.Write{
			{Key: openPrefix + sub.ID, Value: owner},
		},
	}
	for n := 0; len(data) > 0 || n == 0; n++ {
		if n >= maxParts {
			return Claim{}, ErrTooLarge
		}
		part := data[:min(len(data), maxValueBytes)]
		data = data[len(part):]
		tx.Writes = append(tx.Writes, keyvalue.Write{
			Key:   partKey(sub.ID, n),
			Value: part,
		})
	}
	rev, err := l.Store.Commit(ctx, tx)
	var conflict *keyvalue.ConflictError
	switch {
	case err == nil:
		return Claim{
			Batch:    sub.ID,
			Owner:    l.Self,
			Revision: rev,
			Binding:  sub.Binding(),
		}, nil
	case errors.As(err, &conflict):
		return l.claimIfOurs(conflict.Item(openPrefix+sub.ID), sub.ID)
	case errors.Is(err, keyvalue.ErrOutcomeUnknown):
		return l.resolveAccept(ctx, sub.ID)
	}
	return Claim{}, err
}

// resolveAccept looks up a batch after the write that accepts it had no answer. Only
// finding the batch proves the outcome: if it is absent now, the write may still be done
// later.
func (l *Ledger) resolveAccept(ctx context.Context, id string) (Claim, error) {
	for range resolveAttempts {
		item, err := l.Store.Get(ctx, openPrefix+id)
		if err == nil {
			return l.claimIfOurs(item, id)
		}
		if errors.Is(err, keyvalue.ErrNotFound) {
			if _, err := l.Store.Get(ctx, partKey(id, 0)); err == nil {
				return Claim{}, ErrExists
			}
		}
		if ctx.Err() != nil {
			break
		}
		l.Pause(resolvePause)
	}
	return Claim{}, ErrOutcomeUnknown
}

// End ends a batch. It may be repeated. It returns the claim that the end replaced, whose
// owner does not know of the end; it has no owner if the batch was ended before.
func (l *Ledger) End(ctx context.Context, id string, now time.Time) (Claim, error) {
	var replaced Claim
	var err error
	// Another instance may take the batch over between the two calls.
	for range endAttempts {
		var item keyvalue.Item
		item, err = l.Store.Get(ctx, openPrefix+id)
		if errors.Is(err, keyvalue.ErrNotFound) {
			// If an attempt without an answer has ended the batch, its claim is the last.
			return replaced, l.checkEnded(ctx, id)
		}
		if err != nil {
			return Claim{}, err
		}
		// A claim of another release that can't be read is ended as well.
		replaced, _ = decodeClaim(item)
		err = l.endAtRevision(ctx, id, item.Revision, now)
		if !errors.Is(err, ErrFenced) && !errors.Is(err, keyvalue.ErrOutcomeUnknown) {
			break
		}
	}
	return replaced, err
}

// EndClaimed ends a batch that this process owns, normally with a single call of the
// service. It returns ErrFenced if the batch has another owner.
func (l *Ledger) EndClaimed(ctx context.Context, c Claim, now time.Time) error {
	var err error
	for range endAttempts {
		err = l.endAtRevision(ctx, c.Batch, c.Revision, now)
		if !errors.Is(err, keyvalue.ErrOutcomeUnknown) {
			break
		}
	}
	if !errors.Is(err, ErrFenced) {
		return err
	}
	err = l.checkEnded(ctx, c.Batch)
	if errors.Is(err, ErrUnknown) {
		return ErrFenced
	}
	return err
}

// endAtRevision ends a batch if its claim has the given revision, and returns ErrFenced
// otherwise.
func (l *Ledger) endAtRevision(ctx context.Context, id string, revision uint64, now time.Time) error {
	at, err := json.Marshal(now.UnixMilli())
	if err != nil {
		return err
	}
	_, err = l.Store.Commit(ctx, keyvalue.Transaction{
		Expects: []keyvalue.Condition{
			{Key: openPrefix + id, Revision: revision},
		},
		Writes: []keyvalue.Write{
			{Key: endedPrefix + id, Value: at},
			// This key sorts first in a listing of the batch, so a listing that has it
			// has all results there will ever be.
			{Key: endKey(id), Value: at},
		},
		Removes: []string{openPrefix + id},
	})
	if errors.Is(err, keyvalue.ErrConflict) {
		return ErrFenced
	}
	return err
}

// errUnknownKey means that a key is none of those under which a batch is stored.
var errUnknownKey = errors.New("no part of a batch has such a key")

// checkEnded returns nil if the batch is ended, and ErrUnknown if there is no such
// batch.
func (l *Ledger) checkEnded(ctx context.Context, id string) error {
	_, err := l.Store.Get(ctx, endedPrefix+id)
	if errors.Is(err, keyvalue.ErrNotFound) {
		return ErrUnknown
	}
	return err
}

// Accepted reports whether a batch was accepted, also if it has ended since.
func (l *Ledger) Accepted(ctx context.Context, id string) (bool, error) {
	for _, key := range []string{openPrefix + id, partKey(id, 0)} {
		_, err := l.Store.Get(ctx, key)
		if !errors.Is(err, keyvalue.ErrNotFound) {
			return err == nil, err
		}
	}
	return false, nil
}

// Load reads everything that is stored of a batch, or returns ErrUnknown.
func (l *Ledger) Load(ctx context.Context, id string) (*Record, error) {
	listing, err := l.Store.Range(ctx, batchPrefix+id+"/", keyvalue.Fresh)
	if err != nil {
		return nil, err
	}
	items := listing.Items
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	var encoded []byte
	rec := &Record{}
	for _, item := range items {
		switch {
		case strings.HasPrefix(item.Key, batchPrefix+id+"/part/"):
			encoded = append(encoded, item.Value...)
		case item.Key == endKey(id):
			rec.Ended = true
		case item.Key == progressKey(id):
			// Without it the items are generated again.
			var progress []submission.Progress
			err := json.Unmarshal(item.Value, &progress)
			if l.logUnreadable(item.Key, err); err == nil {
				rec.Progress = progress
			}
		case strings.HasPrefix(item.Key, batchPrefix+id+"/result/"):
			// Without it the results that follow would have other positions.
			var results []submission.Result
			if err := json.Unmarshal(item.Value, &results); err != nil {
				return nil, fmt.Errorf("%w: results of batch %s: %w", ErrUnreadable, id, err)
			}
			rec.Results = append(rec.Results, results...)
			rec.Chunks++
		default:
			l.logUnreadable(item.Key, errUnknownKey)
		}
	}
	if encoded == nil {
		return nil, ErrUnknown
	}
	if rec.Submission, err = submission.Decode(encoded); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	if rec.Submission.ID != id {
		return nil, fmt.Errorf("%w: batch %.80q is stored as %.80q", ErrUnreadable, rec.Submission.ID, id)
	}
	return rec, nil
}

// FindScoped returns the name of the batch that an organisation calls id, or ErrUnknown if there is
// none or several organisations have one.
func (l *Ledger) FindScoped(ctx context.Context, id string) (string, error) {
	listing, err := l.Store.Range(ctx, batchPrefix+submission.ScopedPrefix(id), keyvalue.Fresh)
	if err != nil {
		return "", err
	}
	var found string
	for _, item := range listing.Items {
		name, _, _ := strings.Cut(strings.TrimPrefix(item.Key, batchPrefix), "/")
		if found != "" && name != found {
			return "", ErrUnknown
		}
		found = name
	}
	if found == "" {
		return "", ErrUnknown
	}
	return found, nil
}

// Delete removes everything that is stored of a batch, once nobody may ask for it any
// more. The key that lists the batch as ended is removed last, so that a removal that
// failed halfway is found and repeated.
func (l *Ledger) Delete(ctx context.Context, id string) error {
	listing, err := l.Store.Range(ctx, batchPrefix+id+"/", keyvalue.Stale)
	if err != nil {
		return err
	}
	var keys []string
	for _, item := range listing.Items {
		keys = append(keys, item.Key)
	}
	keys = append(keys, endedPrefix+id)
	for len(keys) > 0 {
		n := min(len(keys), keyvalue.MaxEntries)
		if _, err := l.Store.Commit(ctx, keyvalue.Transaction{
			Removes: keys[:n],
		}); err != nil {
			return err
		}
		keys = keys[n:]
	}
	return nil
}

// EndedBatches returns the ended batches with the times at which they ended. It leaves out entries that
// can't be read.
func (l *Ledger) EndedBatches(ctx context.Context) (map[string]time.Time, error) {
	listing, err := l.Store.Range(ctx, endedPrefix, keyvalue.Stale)
	if err != nil {
		return nil, err
	}
	ended := make(map[string]time.Time)
	for _, item := range listing.Items {
		var at int64
		err := json.Unmarshal(item.Value, &at)
		if err != nil {
			err = fmt.Errorf("%w: %w", ErrUnreadable, err)
		}
		if l.logUnreadable(item.Key, err); err != nil {
			continue
		}
		ended[strings.TrimPrefix(item.Key, endedPrefix)] = time.UnixMilli(at)
	}
	return ended, nil
}
