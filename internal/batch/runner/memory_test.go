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

// Guards against items that wait for more than 5 s without being sent while engines are less than
// half full: each of two engines has memory for two of 50 items, and slots for 64, and the items
// take longer than that. More items wait than are looked at in one call of dispatch.
func TestMemoryWaitIsBounded(t *testing.T) {
	for engines, slots := range map[int]int{1: 128, 2: 64} {
		t.Run(fmt.Sprint(engines), func(t *testing.T) { checkMemoryWait(t, engines, slots) })
	}
}

func checkMemoryWait(t *testing.T, engines, slots int) {
	is := is.New(t)
	var mu sync.Mutex
	sentAt := make(map[string]timer.Instant)
	var b *testBench
	b = newTestBench(t, func(ctx context.Context, _ *catalog.Upstream, attempt Attempt, emit func(Event) error) error {
		mu.Lock()
		if _, ok := sentAt[attempt.Item.ID]; !ok {
			sentAt[attempt.Item.ID] = b.clock.Now()
		}
		mu.Unlock()
		for n := attempt.After; n < 100; n++ {
			if !timer.Wait(b.clock, 100*time.Millisecond, ctx.Done()) {
				return ctx.Err()
			}
			if err := emitEvents(n, n+1, 5, emit); err != nil {
				return err
			}
		}
		return nil
	})
	b.useEngines(engines, slots, 16_000)
	for range 20 {
		b.runner.lengths.Record(1000, 9)
		b.runner.lengths.Record(1000, 11)
	}
	sub := b.newSubmission()
	for n := range 50 {
		sub.Items = append(sub.Items, submission.Item{ID: fmt.Sprint("large", n), Path: "/x", Group: "large", PromptTokens: 5000, ExpectedTokens: 1000})
	}
	start := b.clock.Now()
	is.NoErr(b.runner.Submit(context.Background(), sub, b.route))
	is.True(eventually(func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(sentAt) == 50 || b.clock.Now().Sub(start) > 20*time.Second
	}))
	mu.Lock()
	defer mu.Unlock()
	waited := 0
	for id, at := range sentAt {
		if at.Sub(start) > time.Second {
			waited++
		}
		if at.Sub(start) > 5*time.Second {
			t.Errorf("%s was sent after %s", id, at.Sub(start))
		}
	}
	is.Equal(len(sentAt), 50)
	is.True(waited > 16) // the load reproduces the wait
}
