package runner

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/egretbend/egretbend/internal/batch/ledger"
	"github.com/egretbend/egretbend/internal/batch/submission"
	"github.com/egretbend/egretbend/internal/route/catalog"
	"github.com/egretbend/egretbend/internal/standin/memorystore"
	"github.com/egretbend/egretbend/internal/standin/property"
)

// historyCount is the number of random histories that the test runs; each takes
// some hundredths of a second.
const historyCount = 40

// The key-value service refuses calls, loses their answers and carries them out
// late, while a trainer submits its batch repeatedly here and at another
// instance. Every result that can be read here must be in the ledger, so that it
// can be read again after any crash. At the end, if this instance has the batch,
// each of its items must be there once.
func TestPreparedBatchShowsOnlyStoredResults(t *testing.T) {
	property.CheckN(t, historyCount, func(rt *rapid.T) {
		is := is.New(t)
		ctx := context.Background()
		b := newTestBench(t, func(_ context.Context, _ *catalog.Upstream, attempt Attempt, emit func(Event) error) error {
			return emitEvents(attempt.After, 3, 5, emit)
		})
		var fault atomic.Int32
		b.store.Fault = func(memorystore.Operation) memorystore.Fault { return memorystore.Fault(fault.Load()) }
		sub := b.newSubmission("x", "y", "z")
		other := &ledger.Ledger{
			Store: b.store,
			Self: ledger.Owner{
				Instance: "other",
			},
			Pause: b.runner.Ledger.Pause,
		}
		for range rapid.IntRange(1, 12).Draw(rt, "steps") {
			fault.Store(int32(rapid.IntRange(int(memorystore.None), int(memorystore.Delayed)).Draw(rt, "fault")))
			switch rapid.IntRange(0, 4).Draw(rt, "action") {
			case 0, 1:
				if b.runner.Submit(ctx, sub, b.route) != nil {
					b.runner.StartUnstored(sub, b.route)
				}
			case 2:
				_, _ = other.Accept(ctx, sub)
			case 3:
				b.store.ApplyDelayed()
			case 4:
				page, err := b.runner.Read(ctx, "b", 0, 0)
				if err != nil {
					continue
				}
				fault.Store(int32(memorystore.None))
				rec, err := b.runner.Ledger.Load(ctx, "b")
				is.NoErr(err)
				is.True(len(rec.Results) >= len(page.Results))
				for i, r := range page.Results {
					is.Equal(rec.Results[i].Item, r.Item)
				}
			}
		}
		fault.Store(int32(memorystore.None))
		b.store.ApplyDelayed()
		_ = b.runner.Submit(ctx, sub, b.route)
		claim, err := b.runner.Ledger.Find(ctx, "b")
		is.NoErr(err)
		if claim.Owner != b.runner.Ledger.Self {
			is.Equal(b.runner.Has("b"), false)
			return
		}
		once := map[string]int{}
		for _, r := range b.waitForResults(3) {
			is.Equal(r.State, submission.Completed)
			once[r.Item]++
		}
		is.Equal(once, map[string]int{"x": 1, "y": 1, "z": 1})
	})
}
