package runner

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/batch/submission"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/catalog"
)

// Guards against engines that get more long items than they have memory for, which suspend or
// refuse them, and against short items that wait behind: each of two engines has memory for
// three of twelve large items.
func TestLargeItemsWaitForMemory(t *testing.T) {
	is := is.New(t)
	const memory = 20_000
	var mu sync.Mutex
	running := make(map[string]int64)
	most := int64(0)
	var order []string
	var b *testBench
	b = newTestBench(t, func(ctx context.Context, u *catalog.Upstream, attempt Attempt, emit func(Event) error) error {
		need := int64(attempt.Item.PromptTokens)
		mu.Lock()
		running[u.ID] += need
		most = max(most, running[u.ID])
		order = append(order, attempt.Item.Group)
		mu.Unlock()
		defer func() {
			mu.Lock()
			running[u.ID] -= need
			mu.Unlock()
		}()
		for n := attempt.After; n < 10; n++ {
			if !timer.Wait(b.clock, 40*time.Millisecond, ctx.Done()) {
				return ctx.Err()
			}
			if err := emitEvents(n, n+1, 5, emit); err != nil {
				return err
			}
		}
		return nil
	})
	b.useEngines(2, 8, memory)
	for range 20 {
		b.runner.lengths.Record(1000, 9)
		b.runner.lengths.Record(1000, 11)
	}
	is.True(b.runner.lengths.Spread() > 0)
	sub := b.newSubmission()
	for n := range 12 {
		sub.Items = append(sub.Items, submission.Item{ID: fmt.Sprint("large", n), Path: "/x", Group: "large", PromptTokens: 5000, ExpectedTokens: 1000})
	}
	for n := range 4 {
		sub.Items = append(sub.Items, submission.Item{ID: fmt.Sprint("small", n), Path: "/x", Group: "small", PromptTokens: 100, ExpectedTokens: 200})
	}
	is.NoErr(b.runner.Submit(context.Background(), sub, b.route))
	is.Equal(len(b.waitForResults(16)), 16)
	mu.Lock()
	defer mu.Unlock()
	t.Logf("at most %d of %d tokens; items began in the order %v", most, memory, order)
	is.True(most <= memory)
	is.True(slices.Index(order, "small") < 7) // the first small item did not wait for the large ones
	for _, u := range b.runner.Upstreams.Group("s").Upstreams {
		is.True(eventually(func() bool { return u.Reserved() == 0 }))
	}
}
