package ledger_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/batch/ledger"
	"github.com/egretbend/egretbend/internal/batch/submission"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
	"github.com/egretbend/egretbend/internal/standin/memorystore"
)

// oddValues are values that no instance writes.
var oddValues = []string{"", "\x00\xff", `"`, "[", strings.Repeat("[", 60_000), "1e999", `{"a":1}`, "[{}", "true"}

// Guards against an odd entry by which no instance takes over the batches of a lost one any more, or
// removes those that have ended.
func TestOddEntriesAreLeftOut(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	for _, value := range oddValues {
		store := &memorystore.Store{
			Timer: timer.Real{},
		}
		l := &ledger.Ledger{
			Store: store,
			Self:  ledger.Owner{Instance: "i", Incarnation: "1"},
			Pause: func(time.Duration) {},
		}
		sub := &submission.Submission{
			ID:    "sound",
			Items: []submission.Item{{ID: "x", Path: "/x"}},
		}
		claim, err := l.Accept(ctx, sub)
		is.NoErr(err)
		_, err = l.Accept(ctx, &submission.Submission{
			ID:    "ended",
			Items: sub.Items,
		})
		is.NoErr(err)
		_, err = l.End(ctx, "ended", time.Now())
		is.NoErr(err)
		_, err = l.Append(ctx, claim, []submission.Result{{Item: "x", State: submission.Completed}}, nil)
		is.NoErr(err)
		_, err = store.Commit(ctx, keyvalue.Transaction{
			Writes: []keyvalue.Write{
				{Key: "egretbend/open/a", Value: []byte(value)},
				{Key: "egretbend/ended/a", Value: []byte(value)},
				{Key: "egretbend/batch/sound/other", Value: []byte(value)},
				{Key: "egretbend/batch/sound/progress", Value: []byte(value)},
				{Key: "egretbend/batch/odd/part/00", Value: []byte(value)},
			},
		})
		is.NoErr(err)
		claims, err := l.OpenBatches(ctx, keyvalue.Fresh)
		is.NoErr(err)
		found := false
		for _, c := range claims {
			found = found || c.Batch == "sound" && c.Owner == l.Self
		}
		is.True(found)
		all, err := l.EndedBatches(ctx)
		is.NoErr(err)
		_, found = all["ended"]
		is.True(found)
		rec, err := l.Load(ctx, "sound")
		is.NoErr(err)
		is.Equal(len(rec.Submission.Items), 1)
		is.Equal(len(rec.Results), 1)
		_, err = l.Load(ctx, "odd")
		is.True(errors.Is(err, ledger.ErrUnreadable) || errors.Is(err, ledger.ErrUnknown))
	}
}
