package runner

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/batch/submission"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/engine"
	"github.com/egretbend/egretbend/internal/route/catalog"
)

// useEngines replaces the engines of the bench by n engines with the given slots and memory.
func (b *testBench) useEngines(n, slots, memory int) {
	var entries []catalog.Entry
	for i := range n {
		id := fmt.Sprintf("engine-%02d", i)
		entries = append(entries, catalog.Entry{ID: id, Service: "s", Address: id, Slots: slots, Versions: map[string]uint64{"m": 5}})
	}
	b.runner.Upstreams.Update(entries, []string{"one", "two"})
	b.runner.Configuration.Update(catalog.Configuration{
		Version:  2,
		Routes:   []catalog.Route{b.route},
		Services: map[string]catalog.Service{"s": {Name: "s", Engine: &catalog.Engine{Slots: slots, Tokens: memory}}},
	}.WithIndex())
}

// Guards against items that no engine can hold: 38 of 150 exceed the memory of every engine.
// Each was sent to the next engine as soon as one had refused it, which made thousands of
// sends, and every refusal closed an engine to the other items.
func TestItemsTooLargeDoNotBlockOthers(t *testing.T) {
	is := is.New(t)
	const memory = 34_528
	var mu sync.Mutex
	sentAt := make(map[string][]timer.Instant)
	var b *testBench
	b = newTestBench(t, func(ctx context.Context, _ *catalog.Upstream, attempt Attempt, emit func(Event) error) error {
		if attempt.Item.MostTokens > memory {
			mu.Lock()
			sentAt[attempt.Item.ID] = append(sentAt[attempt.Item.ID], b.clock.Now())
			mu.Unlock()
			return &engine.RefusedError{}
		}
		if !timer.Wait(b.clock, 400*time.Millisecond, ctx.Done()) {
			return ctx.Err()
		}
		return emitEvents(attempt.After, 1, 5, emit)
	})
	b.useEngines(8, 4, memory)
	sub := b.newSubmission()
	for i := range 150 {
		item := submission.Item{ID: fmt.Sprint("item", i), Path: "/x", Group: "g", ExpectedTokens: 500, MostTokens: 1000}
		if i < 38 {
			item.ExpectedTokens, item.MostTokens = 2*memory, 2*memory
		}
		sub.Items = append(sub.Items, item)
	}
	sends := 0
	start := b.clock.Now()
	is.NoErr(b.runner.Submit(context.Background(), sub, b.route))
	results := b.waitForResults(112)
	mu.Lock()
	for _, at := range sentAt {
		sends += len(at)
	}
	t.Logf("%d sends of 38 items until the others were complete after %s", sends, b.clock.Now().Sub(start))
	mu.Unlock()
	is.Equal(len(results), 112)
	is.True(eventually(func() bool { return b.clock.Now().Sub(start) >= 20*time.Second }))
	took := b.clock.Now().Sub(start)
	mu.Lock()
	defer mu.Unlock()
	sends = 0
	for _, at := range sentAt {
		sends += len(at)
		is.True(len(at) >= 3) // offered again within 5 s while engines have free slots
		is.True(len(at) <= 1+int(took/(2500*time.Millisecond)))
	}
	t.Logf("%d sends of 38 items in %s", sends, took)
	is.Equal(len(sentAt), 38)
}

// Guards against an item that is refused by one engine after the other without a pause while
// the engines take other items.
func TestRefusedItemBacksOff(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	refused := 0
	var b *testBench
	b = newTestBench(t, func(ctx context.Context, _ *catalog.Upstream, attempt Attempt, emit func(Event) error) error {
		if attempt.Item.ID == "bad" {
			mu.Lock()
			refused++
			mu.Unlock()
			return &engine.RefusedError{}
		}
		if !timer.Wait(b.clock, 200*time.Millisecond, ctx.Done()) {
			return ctx.Err()
		}
		return emitEvents(attempt.After, 1, 5, emit)
	})
	ids := []string{"bad"}
	for i := range 100 {
		ids = append(ids, fmt.Sprint("good", i))
	}
	start := b.clock.Now()
	is.NoErr(b.submit(ids...))
	is.Equal(len(b.waitForResults(100)), 100)
	seconds := b.clock.Now().Sub(start).Seconds()
	mu.Lock()
	defer mu.Unlock()
	t.Logf("%d refusals in %.1f s", refused, seconds)
	is.True(refused >= 4)                        // it is offered again all the time
	is.True(float64(refused) <= 4+seconds/1.2+1) // 150, 300, 600 ms and then 1.2 s
}
