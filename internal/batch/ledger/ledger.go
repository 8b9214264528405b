package ledger

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/egretbend/egretbend/internal/batch/submission"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
)

// The keys of the ledger.
const (
	openPrefix  = "egretbend/open/"
	batchPrefix = "egretbend/batch/"
	endedPrefix = "egretbend/ended/"
)

// partBytes is the largest part of a submission in one value. The service
// takes a megabyte, and its answers to a listing are cut at about as much.
const partBytes = 512 << 10

// maxParts leaves room in a transaction for the claim.
const maxParts = keyvalue.MaxEntries/2 - 2

// How often a write without an answer is looked for, and how long to wait
// between two looks.
const (
	settleTries = 4
	settlePause = 150 * time.Millisecond
)

// The ways in which an operation can fail.
var (
	// ErrExists means that the batch was accepted before.
	ErrExists = errors.New("the batch was accepted before")
	// ErrUnknown means that there is no such batch.
	ErrUnknown = errors.New("no such batch")
	// ErrUnsettled means that the write may or may not be done, or may still
	// be done.
	ErrUnsettled = errors.New("it is not known whether the write was done")
	// ErrFenced means that another instance owns the batch now, or that the
	// batch is ended.
	ErrFenced = errors.New("the batch has another owner or is ended")
	// ErrTooLarge means that the batch does not fit the service.
	ErrTooLarge = errors.New("the batch is larger than the key-value service takes")
)

// Owner names a process that runs batches.
type Owner struct {
	Instance    string `json:"instance"`
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
}

// Claim is an open batch and who runs it.
type Claim struct {
	Batch    string
	Owner    Owner
	Revision uint64
	// Chunks is how many chunks of results the holder of the claim has
	// written or read.
	Chunks int
	// Found says that the claim was found in the ledger rather than made just
	// now: results may stand there already.
	Found bool
}

// Record is all that is stored of a batch.
type Record struct {
	Submission *submission.Submission
	Results    []submission.Result
	Progress   []submission.Progress
	Chunks     int
	// Ended says that nothing of the batch changes any more.
	Ended bool
}

// Ledger reads and writes batches on behalf of one process.
type Ledger struct {
	Space keyvalue.Space
	Self  Owner
	// Pause waits between two looks at an unsettled write.
	Pause func(time.Duration)
}

func partKey(id string, n int) string  { return fmt.Sprintf("%s%s/part/%02d", batchPrefix, id, n) }
func endKey(id string) string          { return batchPrefix + id + "/end" }
func progressKey(id string) string     { return batchPrefix + id + "/progress" }
func chunkKey(id string, n int) string { return fmt.Sprintf("%s%s/result/%06d", batchPrefix, id, n) }

// Accept stores a batch whole, with this process as its owner.
func (l *Ledger) Accept(ctx context.Context, sub *submission.Submission) (Claim, error) {
	data, err := sub.Encode()
	if err != nil {
		return Claim{}, err
	}
	owner, err := json.Marshal(l.Self)
	if err != nil {
		return Claim{}, err
	}
	tx := keyvalue.Transaction{
		Expects: []keyvalue.Expect{
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
		part := data[:min(len(data), partBytes)]
		data = data[len(part):]
		tx.Writes = append(tx.Writes, keyvalue.Write{
			Key:   partKey(sub.ID, n),
			Value: part,
		})
	}
	rev, err := l.Space.Commit(ctx, tx)
	var conflict *keyvalue.ConflictError
	switch {
	case err == nil:
		return Claim{
			Batch:    sub.ID,
			Owner:    l.Self,
			Revision: rev,
		}, nil
	case errors.As(err, &conflict):
		return l.settled(conflict.Item(openPrefix+sub.ID), sub.ID)
	case errors.Is(err, keyvalue.ErrLost):
		return l.settle(ctx, sub.ID)
	}
	return Claim{}, err
}

// settled tells from the stored owner who accepted a batch that exists.
func (l *Ledger) settled(item keyvalue.Item, id string) (Claim, error) {
	var owner Owner
	if item.Revision == 0 || json.Unmarshal(item.Value, &owner) != nil || owner != l.Self {
		return Claim{}, ErrExists
	}
	return Claim{
		Batch:    id,
		Owner:    owner,
		Revision: item.Revision,
		Found:    true,
	}, nil
}

// settle looks for a batch whose acceptance had no answer. Only finding it
// settles the matter: what is absent now may still be written.
func (l *Ledger) settle(ctx context.Context, id string) (Claim, error) {
	for range settleTries {
		item, err := l.Space.Get(ctx, openPrefix+id)
		if err == nil {
			return l.settled(item, id)
		}
		if errors.Is(err, keyvalue.ErrNotFound) {
			if _, err := l.Space.Get(ctx, partKey(id, 0)); err == nil {
				return Claim{}, ErrExists
			}
		}
		if ctx.Err() != nil {
			break
		}
		l.Pause(settlePause)
	}
	return Claim{}, ErrUnsettled
}

// End ends a batch. It may be repeated.
func (l *Ledger) End(ctx context.Context, id string, now time.Time) error {
	item, err := l.Space.Get(ctx, openPrefix+id)
	if errors.Is(err, keyvalue.ErrNotFound) {
		return l.ended(ctx, id)
	}
	if err != nil {
		return err
	}
	return l.endAt(ctx, id, item.Revision, now)
}

// EndClaimed ends a batch that this process holds, with one call.
func (l *Ledger) EndClaimed(ctx context.Context, c Claim, now time.Time) error {
	err := l.endAt(ctx, c.Batch, c.Revision, now)
	if errors.Is(err, ErrFenced) || errors.Is(err, keyvalue.ErrLost) {
		return l.End(ctx, c.Batch, now)
	}
	return err
}

func (l *Ledger) endAt(ctx context.Context, id string, revision uint64, now time.Time) error {
	at, err := json.Marshal(now.UnixMilli())
	if err != nil {
		return err
	}
	_, err = l.Space.Commit(ctx, keyvalue.Transaction{
		Expects: []keyvalue.Expect{
			{Key: openPrefix + id, Revision: revision},
		},
		Writes: []keyvalue.Write{
			{Key: endedPrefix + id, Value: at},
			// It comes first in a listing of the batch: what is listed after it
			// is all there will ever be.
			{Key: endKey(id), Value: at},
		},
		Removes: []string{openPrefix + id},
	})
	if errors.Is(err, keyvalue.ErrConflict) {
		return ErrFenced
	}
	return err
}

// ended reports nil if the batch is ended, ErrUnknown if there never was one.
func (l *Ledger) ended(ctx context.Context, id string) error {
	_, err := l.Space.Get(ctx, endedPrefix+id)
	if errors.Is(err, keyvalue.ErrNotFound) {
		return ErrUnknown
	}
	return err
}

// Find returns the claim on an open batch, or ErrUnknown.
func (l *Ledger) Find(ctx context.Context, id string) (Claim, error) {
	item, err := l.Space.Get(ctx, openPrefix+id)
	if errors.Is(err, keyvalue.ErrNotFound) {
		return Claim{}, ErrUnknown
	}
	if err != nil {
		return Claim{}, err
	}
	return decodeClaim(item)
}

func decodeClaim(item keyvalue.Item) (Claim, error) {
	c := Claim{
		Batch:    strings.TrimPrefix(item.Key, openPrefix),
		Revision: item.Revision,
	}
	if err := json.Unmarshal(item.Value, &c.Owner); err != nil {
		return c, fmt.Errorf("claim on batch %s: %w; it was written by another release", c.Batch, err)
	}
	return c, nil
}

// Open lists the open batches.
func (l *Ledger) Open(ctx context.Context, f keyvalue.Freshness) ([]Claim, error) {
	listing, err := l.Space.Range(ctx, openPrefix, f)
	if err != nil {
		return nil, err
	}
	var claims []Claim
	for _, item := range listing.Items {
		c, err := decodeClaim(item)
		if err != nil {
			return nil, err
		}
		claims = append(claims, c)
	}
	return claims, nil
}

// TakeOver makes this process the owner of an open batch, if the claim still
// stands as it was seen and the key by which its owner would show that it lives
// does not exist. A view that is behind may take a live owner for dead; that one
// would go on answering reads without the results of the new one.
func (l *Ledger) TakeOver(ctx context.Context, seen Claim, sign string) (Claim, error) {
	owner, err := json.Marshal(l.Self)
	if err != nil {
		return Claim{}, err
	}
	expects := []keyvalue.Expect{
		{Key: openPrefix + seen.Batch, Revision: seen.Revision},
	}
	if sign != "" {
		expects = append(expects, keyvalue.Expect{
			Key: sign,
		})
	}
	rev, err := l.Space.Commit(ctx, keyvalue.Transaction{
		Expects: expects,
		Writes: []keyvalue.Write{
			{Key: openPrefix + seen.Batch, Value: owner},
		},
	})
	if errors.Is(err, keyvalue.ErrConflict) {
		return Claim{}, ErrFenced
	}
	return Claim{
		Batch:    seen.Batch,
		Owner:    l.Self,
		Revision: rev,
	}, err
}

// Load reads all that is stored of a batch, or ErrUnknown.
func (l *Ledger) Load(ctx context.Context, id string) (*Record, error) {
	listing, err := l.Space.Range(ctx, batchPrefix+id+"/", keyvalue.Fresh)
	if err != nil {
		return nil, err
	}
	items := listing.Items
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	var spec []byte
	rec := &Record{}
	for _, item := range items {
		if strings.HasPrefix(item.Key, batchPrefix+id+"/part/") {
			spec = append(spec, item.Value...)
			continue
		}
		if item.Key == endKey(id) {
			rec.Ended = true
			continue
		}
		if item.Key == progressKey(id) {
			if err := json.Unmarshal(item.Value, &rec.Progress); err != nil {
				return nil, fmt.Errorf("progress of batch %s: %w", id, err)
			}
			continue
		}
		var results []submission.Result
		if err := json.Unmarshal(item.Value, &results); err != nil {
			return nil, fmt.Errorf("results of batch %s: %w", id, err)
		}
		rec.Results = append(rec.Results, results...)
		rec.Chunks++
	}
	if spec == nil {
		return nil, ErrUnknown
	}
	rec.Submission, err = submission.Decode(spec)
	return rec, err
}

// Forget removes all that is stored of a batch, once nobody may ask for it. The
// mark of its end goes last: what a failure leaves is found by it again.
func (l *Ledger) Forget(ctx context.Context, id string) error {
	listing, err := l.Space.Range(ctx, batchPrefix+id+"/", keyvalue.Stale)
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
		if _, err := l.Space.Commit(ctx, keyvalue.Transaction{
			Removes: keys[:n],
		}); err != nil {
			return err
		}
		keys = keys[n:]
	}
	return nil
}

// Ended lists the ended batches with the times of their ends.
func (l *Ledger) Ended(ctx context.Context) (map[string]time.Time, error) {
	listing, err := l.Space.Range(ctx, endedPrefix, keyvalue.Stale)
	if err != nil {
		return nil, err
	}
	ended := make(map[string]time.Time)
	for _, item := range listing.Items {
		var at int64
		if err := json.Unmarshal(item.Value, &at); err != nil {
			return nil, fmt.Errorf("end of batch %s: %w", item.Key, err)
		}
		ended[strings.TrimPrefix(item.Key, endedPrefix)] = time.UnixMilli(at)
	}
	return ended, nil
}
