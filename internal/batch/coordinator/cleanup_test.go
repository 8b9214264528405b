package coordinator

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/batch/submission"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
)

// Guards against a key-value store that fills up with ended batches, and against removing a
// batch too early: trainers read results for two minutes.
func TestEndedBatchesAreRemovedAfterRetention(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c, store := newCoordinator(t, nil)
	for _, id := range []string{"old", "open"} {
		claim, err := c.Ledger.Accept(ctx, &submission.Submission{ID: id})
		is.NoErr(err)
		_, err = c.Ledger.Append(ctx, claim, []submission.Result{{Item: "x"}}, []submission.Progress{{Item: "y"}})
		is.NoErr(err)
	}
	now := time.Now()
	_, err := c.Ledger.End(ctx, "old", now)
	is.NoErr(err)
	before, err := store.Range(ctx, "", keyvalue.Fresh)
	is.NoErr(err)
	c.cleanUp(ctx, now.Add(endedRetention-time.Second))
	still, err := store.Range(ctx, "", keyvalue.Fresh)
	is.NoErr(err)
	is.Equal(len(still.Items), len(before.Items))
	c.cleanUp(ctx, now.Add(endedRetention+time.Second))
	after, err := store.Range(ctx, "", keyvalue.Fresh)
	is.NoErr(err)
	is.Equal(len(before.Items)-len(after.Items), 5) // its part, chunk, progress and two end keys
	_, err = c.Ledger.Load(ctx, "open")
	is.NoErr(err)
}
