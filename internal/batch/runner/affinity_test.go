package runner

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/batch/ledger"
	"github.com/egretbend/egretbend/internal/batch/schedule"
	"github.com/egretbend/egretbend/internal/batch/submission"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/engine"
	"github.com/egretbend/egretbend/internal/route/catalog"
)

// Guards against prompts that are read at one engine after the other although the items of a
// group share them. Twelve groups of 16 items run at eight engines of eight slots.
func TestGroupsReadTheirPromptAtFewEngines(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	read := make(map[string]map[string]bool)
	var b *testBench
	b = newTestBench(t, func(ctx context.Context, u *catalog.Upstream, attempt Attempt, emit func(Event) error) error {
		mu.Lock()
		if read[attempt.Item.Group] == nil {
			read[attempt.Item.Group] = make(map[string]bool)
		}
		read[attempt.Item.Group][u.ID] = true
		mu.Unlock()
		if !timer.Wait(b.clock, time.Duration(200+37*len(attempt.Item.ID)%200)*time.Millisecond, ctx.Done()) {
			return ctx.Err()
		}
		return emitEvents(attempt.After, 2, 5, emit)
	})
	b.useEngines(8, 8, 0)
	sub := b.newSubmission()
	for n := range 16 {
		for g := range 12 {
			sub.Items = append(sub.Items, submission.Item{
				ID:             fmt.Sprint("item", g, "-", n),
				Path:           "/x",
				Group:          fmt.Sprint("group", g),
				PromptTokens:   260,
				ExpectedTokens: 1000 + 10*((n*7+g*5)%17),
			})
		}
	}
	is.NoErr(b.runner.Submit(context.Background(), sub, b.route))
	is.Equal(len(b.waitForResults(192)), 192)
	mu.Lock()
	defer mu.Unlock()
	again := 0
	for _, engines := range read {
		again += len(engines) - 1
	}
	t.Logf("%d prompts read again", again)
	is.True(again <= 42) // up to 84 if items go to any engine
}

// Guards against an engine that counts as warm after its weights changed, after half a minute,
// or although it refused the item, and against a record that grows without limit.
func TestWarmPromptsAreForgotten(t *testing.T) {
	is := is.New(t)
	b := newTestBench(t, nil)
	b.useEngines(6, 8, 0)
	sub := b.newSubmission()
	for n := range 8 {
		sub.Items = append(sub.Items, submission.Item{ID: fmt.Sprint(n), Group: "g", PromptTokens: 260})
	}
	batch := newBatch(sub, ledger.Claim{}, nil, nil, nil)
	engines := b.runner.Upstreams.Group("s").Upstreams
	now := timer.Instant(time.Hour)
	first, second := batch.tasks["0"], batch.tasks["1"]
	batch.promptSent(first, engines[0], now)
	is.True(batch.isWarm(second, engines[0], now.Add(schedule.WarmTime-time.Second)))
	is.Equal(batch.isWarm(second, engines[1], now), false)
	batch.promptNotRead(second, engines[0]) // refused for another item, the first is being read
	is.True(batch.isWarm(second, engines[0], now))
	is.Equal(batch.isWarm(second, engines[0], now.Add(schedule.WarmTime)), false)
	batch.promptSent(first, engines[0], now)
	batch.promptNotRead(first, engines[0])
	is.Equal(batch.isWarm(second, engines[0], now), false)
	for _, u := range engines {
		batch.promptSent(first, u, now)
	}
	is.Equal(len(batch.prompts["g"]), schedule.MaxWarmEngines)
	is.True(batch.isWarm(second, engines[5], now))
	b.runner.Upstreams.Update([]catalog.Entry{{ID: engines[5].ID, Service: "s", Address: engines[5].Address, Slots: 8, Versions: map[string]uint64{"m": 6}}}, nil)
	is.Equal(batch.isWarm(second, engines[5], now), false) // it has other weights
}

// Guards against items without a group, or without a known prompt, that count as sharing one,
// and against a panic when such an item is refused.
func TestItemsWithoutSharedPrompt(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	refused := make(map[string]bool)
	b := newTestBench(t, func(_ context.Context, _ *catalog.Upstream, attempt Attempt, emit func(Event) error) error {
		mu.Lock()
		defer mu.Unlock()
		if !refused[attempt.Item.ID] {
			refused[attempt.Item.ID] = true
			return &engine.RefusedError{}
		}
		return emitEvents(attempt.After, 2, 5, emit)
	})
	sub := b.newSubmission("x", "y", "z")
	sub.Items[0].Group, sub.Items[0].PromptTokens = "", 100
	sub.Items[2].PromptTokens = 100
	is.NoErr(b.runner.Submit(context.Background(), sub, b.route))
	is.Equal(len(b.waitForResults(3)), 3)
}

// Guards against streams that open connections to one engine after the other although the
// engine of the stream before has an idle one.
func TestNextStreamUsesIdleConnection(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	used := make(map[string]int)
	b := newTestBench(t, func(_ context.Context, u *catalog.Upstream, attempt Attempt, emit func(Event) error) error {
		mu.Lock()
		used[u.ID]++
		mu.Unlock()
		attempt.OnConnectionIdle(time.Hour)
		return emitEvents(attempt.After, 2, 5, emit)
	})
	b.useEngines(6, 8, 0)
	for n := range 6 {
		sub := b.newSubmission(fmt.Sprint("item", n))
		sub.ID = fmt.Sprint("batch", n)
		is.NoErr(b.runner.Submit(context.Background(), sub, b.route))
		is.True(eventually(func() bool {
			page, err := b.runner.Read(context.Background(), sub.ID, 0, 0)
			return err == nil && len(page.Results) == 1
		}))
	}
	mu.Lock()
	defer mu.Unlock()
	is.Equal(len(used), 1)
}
