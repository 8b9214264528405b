package runner

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/batch/ledger"
	"github.com/egretbend/egretbend/internal/batch/submission"
	"github.com/egretbend/egretbend/internal/route/catalog"
)

// A step waits for one long text while nothing else of it ends. Its instance loses
// power. Stored only beside finished results, the text was made again from two
// seconds further back, and the trainer stood still for as long.
func TestLongTextIsStoredWhileNothingEnds(t *testing.T) {
	is := is.New(t)
	made := make(chan int)
	b := newBench(t, func(ctx context.Context, _ *catalog.Upstream, g Generation, emit func(Event) error) error {
		for n := g.After; ; {
			select {
			case more := <-made:
				if err := events(n, n+more, 5, emit); err != nil {
					return err
				}
				n += more
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	})
	is.NoErr(b.submit("x"))
	stored := func(want int) func() bool {
		return func() bool {
			rec, err := b.runner.Ledger.Load(context.Background(), "b")
			return err == nil && len(rec.Progress) == 1 && len(rec.Progress[0].Events) == want
		}
	}
	made <- progressEvents
	is.True(until(stored(progressEvents)))
	made <- 7
	is.True(until(stored(progressEvents + 7)))
}

// The batch went to another owner while its texts were on their way to the ledger.
// Stored all the same they would replace what the new owner has.
func TestTextsOfALostBatchAreNotStored(t *testing.T) {
	is := is.New(t)
	b := newBench(t, func(ctx context.Context, _ *catalog.Upstream, _ Generation, _ func(Event) error) error {
		<-ctx.Done()
		return ctx.Err()
	})
	is.NoErr(b.submit("x"))
	before, err := b.runner.Ledger.Find(context.Background(), "b")
	is.NoErr(err)
	other := &ledger.Ledger{
		Space: b.store,
		Self: ledger.Owner{
			Instance: "other",
		},
	}
	_, err = other.TakeOver(context.Background(), before, "")
	is.NoErr(err)
	batch := b.runner.find("b")
	b.runner.keepOnce(batch, before, nil)
	is.True(!batch.isLost()) // nothing to store, nothing asked
	b.runner.keepOnce(batch, before, progressOf("x"))
	is.True(batch.isLost())
	rec, err := b.runner.Ledger.Load(context.Background(), "b")
	is.NoErr(err)
	is.Equal(len(rec.Progress), 0)
}

// progressOf returns the beginning of an item's text.
func progressOf(item string) []submission.Progress {
	return []submission.Progress{
		{
			Item:     item,
			Events:   []string{"e1"},
			Versions: []uint64{5},
		},
	}
}
