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
	"github.com/egretbend/egretbend/internal/standin/proof"
	"github.com/egretbend/egretbend/internal/standin/space"
)

// careless is a key-value service that drops the conditions of transactions.
type careless struct{ *space.Space }

// Commit implements keyvalue.Space.
func (c careless) Commit(ctx context.Context, tx keyvalue.Transaction) (uint64, error) {
	tx.Expects = nil
	return c.Space.Commit(ctx, tx)
}

// owner is one process with its ledger and what it believes.
type owner struct {
	ledger ledger.Ledger
	claim  *ledger.Claim
	listed []submission.Result
	// trying is a chunk whose write had no answer.
	trying []submission.Result
}

// take begins with what the ledger has of a claimed batch.
func (o *owner) take(t *rapid.T, c ledger.Claim) {
	rec, err := o.ledger.Load(context.Background(), c.Batch)
	if err != nil {
		t.Fatalf("a claimed batch can't be loaded: %v", err)
	}
	c.Chunks = rec.Chunks
	o.claim, o.listed, o.trying = &c, rec.Results, nil
}

// history drives three processes that accept, take over, append and end one
// batch while the service loses answers and does calls late. The oracle is what
// readers have seen: a position that was listed never changes, and only one
// process is told that it accepted the batch first.
func history(t *rapid.T, wrap func(*space.Space) keyvalue.Space) {
	clock := &timer.Manual{}
	store := &space.Space{
		Timer: clock,
	}
	fault := space.None
	store.Fault = func(c space.Call) space.Fault {
		if c != space.Commit {
			return space.None
		}
		return fault
	}
	var owners []*owner
	for i := range 3 {
		owners = append(owners, &owner{
			ledger: ledger.Ledger{
				Space: wrap(store),
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
	accepted := map[*owner]bool{}
	read := func(list []submission.Result) {
		for i, r := range list {
			if i < len(seen) && r.Item != seen[i].Item {
				t.Fatalf("position %d was %s and is %s", i, seen[i].Item, r.Item)
			}
		}
		if len(list) > len(seen) {
			seen = slices.Clone(list)
		}
	}
	made := 0
	for range rapid.IntRange(1, 40).Draw(t, "steps") {
		fault = rapid.SampledFrom([]space.Fault{space.None, space.None, space.Down, space.LostBefore, space.LostAfter, space.Late}).Draw(t, "fault")
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
			if !c.Found {
				accepted[o] = true
			}
			o.take(t, c)
		case "append":
			if o.claim == nil {
				continue
			}
			if o.trying == nil {
				made++
				o.trying = []submission.Result{{Item: fmt.Sprint("r", made)}}
			}
			c, err := o.ledger.Append(ctx, *o.claim, o.trying, nil)
			if errors.Is(err, ledger.ErrFenced) {
				o.claim, o.trying = nil, nil
				continue
			}
			if err == nil {
				o.claim = &c
				o.listed = append(o.listed, o.trying...)
				o.trying = nil
				read(o.listed)
			}
		case "take":
			found, err := o.ledger.Find(ctx, "b")
			if err != nil || found.Owner == o.ledger.Self && o.claim != nil {
				continue
			}
			c, err := o.ledger.TakeOver(ctx, found, "")
			if err == nil {
				o.take(t, c)
			}
		case "read":
			if rec, err := o.ledger.Load(ctx, "b"); err == nil {
				read(rec.Results)
			}
		case "settle":
			store.Settle()
		case "end":
			_ = o.ledger.End(ctx, "b", time.Unix(1, 0))
		}
	}
	if len(accepted) > 1 {
		t.Fatalf("%d processes were told that they accepted the batch", len(accepted))
	}
}

// Processes die, freeze and wake, and the service loses answers or does writes
// seconds later. A trainer that has read a result at a position must find it
// there for ever, at any instance, and its batch runs once.
func TestPositionsNeverChange(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		history(t, func(s *space.Space) keyvalue.Space { return s })
	})
}

// Without the conditions on claim and chunk an owner that was paused writes over
// what its successor has listed.
func TestPositionsChangeWithoutConditions(t *testing.T) {
	proof.Refute(t, func(t *rapid.T) {
		history(t, func(s *space.Space) keyvalue.Space { return careless{s} })
	})
}
