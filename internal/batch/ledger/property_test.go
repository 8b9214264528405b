package ledger_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/egretbend/egretbend/internal/batch/ledger"
	"github.com/egretbend/egretbend/internal/batch/submission"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
	"github.com/egretbend/egretbend/internal/standin/memorystore"
	"github.com/egretbend/egretbend/internal/standin/property"
)

// unconditionalStore is a key-value service that ignores the conditions of transactions.
type unconditionalStore struct{ *memorystore.Store }

// Commit implements keyvalue.TransactionalStore.
func (s unconditionalStore) Commit(ctx context.Context, tx keyvalue.Transaction) (uint64, error) {
	tx.Expects = nil
	return s.Store.Commit(ctx, tx)
}

// process is one process with its ledger and its view of the batch.
type process struct {
	ledger ledger.Ledger
	claim  *ledger.Claim
	listed []submission.Result
	// unconfirmed is a chunk whose write had no answer.
	unconfirmed []submission.Result
}

// becomeOwner loads what the ledger has of a claimed batch.
func (p *process) becomeOwner(t *rapid.T, c ledger.Claim) {
	rec, err := p.ledger.Load(context.Background(), c.Batch)
	if err != nil {
		t.Fatalf("a claimed batch can't be loaded: %v", err)
	}
	c.Chunks = rec.Chunks
	p.claim, p.listed, p.unconfirmed = &c, rec.Results, nil
}

// runHistory lets three processes accept, take over, append to and end one batch while
// the service loses answers and carries out calls late. It checks what readers have
// seen: the result at a position never changes once it was listed, and only one process
// is told that it accepted the batch first.
func runHistory(t *rapid.T, wrap func(*memorystore.Store) keyvalue.TransactionalStore) {
	clock := &timer.Manual{}
	store := &memorystore.Store{
		Timer: clock,
	}
	fault := memorystore.None
	store.Fault = func(c memorystore.Operation) memorystore.Fault {
		if c != memorystore.Commit {
			return memorystore.None
		}
		return fault
	}
	var owners []*process
	for i := range 3 {
		owners = append(owners, &process{
			ledger: ledger.Ledger{
				Store: wrap(store),
				Self: ledger.Owner{
					Instance:    fmt.Sprint("instance-", i),
					Incarnation: "1",
				},
				Pause: func(time.Duration) {},
			},
		})
	}
	sub := &submission.Submission{
		ID: "b",
		Items: []submission.Item{
			{ID: "x", Path: "/x"},
		},
	}
	ctx := context.Background()
	var seen []submission.Result
	accepted := map[*process]bool{}
	checkRead := func(list []submission.Result) {
		for i, r := range list {
			if i < len(seen) && r.Item != seen[i].Item {
				t.Fatalf("position %d was %s and is %s", i, seen[i].Item, r.Item)
			}
		}
		if len(list) > len(seen) {
			seen = slices.Clone(list)
		}
	}
	resultCount := 0
	for range rapid.IntRange(1, 40).Draw(t, "steps") {
		fault = rapid.SampledFrom([]memorystore.Fault{memorystore.None, memorystore.None, memorystore.Down, memorystore.LostBefore, memorystore.LostAfter, memorystore.Delayed}).Draw(t, "fault")
		o := rapid.SampledFrom(owners).Draw(t, "owner")
		switch rapid.SampledFrom([]string{"accept", "append", "append", "take", "read", "settle", "end"}).Draw(t, "action") {
		case "accept":
			if o.claim != nil {
				continue
			}
			c, err := o.ledger.Accept(ctx, sub)
			if err != nil {
				continue
			}
			if !c.AlreadyAccepted {
				accepted[o] = true
			}
			o.becomeOwner(t, c)
		case "append":
			if o.claim == nil {
				continue
			}
			if o.unconfirmed == nil {
				resultCount++
				o.unconfirmed = []submission.Result{{Item: fmt.Sprint("r", resultCount)}}
			}
			c, err := o.ledger.Append(ctx, *o.claim, o.unconfirmed, nil)
			if errors.Is(err, ledger.ErrFenced) {
				o.claim, o.unconfirmed = nil, nil
				continue
			}
			if err == nil {
				o.claim = &c
				o.listed = append(o.listed, o.unconfirmed...)
				o.unconfirmed = nil
				checkRead(o.listed)
			}
		case "take":
			found, err := o.ledger.Find(ctx, "b")
			if err != nil || found.Owner == o.ledger.Self && o.claim != nil {
				continue
			}
			c, err := o.ledger.TakeOver(ctx, found, "")
			if err == nil {
				o.becomeOwner(t, c)
			}
		case "read":
			if rec, err := o.ledger.Load(ctx, "b"); err == nil {
				checkRead(rec.Results)
			}
		case "settle":
			store.ApplyDelayed()
		case "end":
			_, _ = o.ledger.End(ctx, "b", time.Unix(1, 0))
		}
	}
	if len(accepted) > 1 {
		t.Fatalf("%d processes were told that they accepted the batch", len(accepted))
	}
}

// Guards against a result that changes its position, or a batch that runs twice, when
// processes die or are paused and resumed and the service loses answers or carries out
// writes seconds later. A trainer that has read a result at a position must find it
// there forever, at any instance.
func TestPositionsNeverChange(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		runHistory(t, func(s *memorystore.Store) keyvalue.TransactionalStore { return s })
	})
}

// Shows that the property depends on the conditions: without those on claim and chunk,
// an owner that was paused overwrites what its successor has listed.
func TestPositionsChangeWithoutConditions(t *testing.T) {
	property.CheckFails(t, func(t *rapid.T) {
		runHistory(t, func(s *memorystore.Store) keyvalue.TransactionalStore { return unconditionalStore{s} })
	})
}
