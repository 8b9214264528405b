package desk

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/batch/submission"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
)

// Steps are made all day. Their samples must leave the key-value service some
// minutes after their end, and not one second before they may: a trainer reads
// them for two minutes.
func TestEndedBatchesAreForgotten(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	d, store := newDesk(t, nil)
	for _, id := range []string{"old", "open"} {
		claim, err := d.Ledger.Accept(ctx, &submission.Submission{ID: id})
		is.NoErr(err)
		_, err = d.Ledger.Append(ctx, claim, []submission.Result{{Item: "x"}}, []submission.Progress{{Item: "y"}})
		is.NoErr(err)
	}
	now := time.Now()
	is.NoErr(d.Ledger.End(ctx, "old", now))
	before, err := store.Range(ctx, "", keyvalue.Fresh)
	is.NoErr(err)
	d.tidy(ctx, now.Add(keepEnded-time.Second))
	still, err := store.Range(ctx, "", keyvalue.Fresh)
	is.NoErr(err)
	is.Equal(len(still.Items), len(before.Items))
	d.tidy(ctx, now.Add(keepEnded+time.Second))
	after, err := store.Range(ctx, "", keyvalue.Fresh)
	is.NoErr(err)
	is.Equal(len(before.Items)-len(after.Items), 5) // its part, chunk, progress and both marks of its end
	_, err = d.Ledger.Load(ctx, "open")
	is.NoErr(err)
}
