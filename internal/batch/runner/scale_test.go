package runner

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/egretbend/egretbend/internal/batch/ledger"
	"github.com/egretbend/egretbend/internal/batch/submission"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/catalog"
)

// newScaleRunner returns a runner with engines of ten models, each of which has recent weights of
// its own model only, and a generator whose attempts run until they are cancelled.
func newScaleRunner(engines int) *Runner {
	clock := &timer.Manual{}
	clock.Advance(time.Hour)
	upstreams := &catalog.Upstreams{Timer: clock}
	assignment := fixedAssignment{models: make(map[string]string)}
	var entries []catalog.Entry
	for i := range engines {
		id := fmt.Sprintf("engine-%05d", i)
		model := fmt.Sprint("m", i%10)
		assignment.models[id] = model
		entries = append(entries, catalog.Entry{
			ID:            id,
			Service:       "s",
			Address:       id,
			FailureDomain: fmt.Sprint("zone-", i/10%12),
			Slots:         6,
			Versions:      map[string]uint64{"m0": 1, "m1": 1, model: 5},
		})
	}
	upstreams.Update(entries, nil)
	for i, u := range upstreams.Group("s").Upstreams {
		u.Begin()
		u.Succeeded(time.Duration(50+i%7) * time.Millisecond)
	}
	cfg := &catalog.Holder{}
	cfg.Update(catalog.Configuration{
		Version:  1,
		Services: map[string]catalog.Service{"s": {Engine: &catalog.Engine{Slots: 6, Tokens: 100_000}}},
	}.WithIndex())
	r := &Runner{
		Ledger:           &ledger.Ledger{Self: ledger.Owner{Instance: "entry-0001"}},
		Upstreams:        upstreams,
		Configuration:    cfg,
		EngineAssignment: assignment,
		Timer:            clock,
		FailureDomain:    "zone-3",
		Generator: &scriptedGenerator{
			generate: func(ctx context.Context, _ *catalog.Upstream, _ Attempt, _ func(Event) error) error {
				<-ctx.Done()
				return ctx.Err()
			},
		},
	}
	r.lengths.Record(10_000, 200)
	return r
}

// newScaleBatch returns a batch of the model m0 in groups of eight items.
func newScaleBatch(r *Runner, items int) *Batch {
	sub := &submission.Submission{ID: "b", Model: "m0", OldestVersion: 4, WantedGroups: 12}
	for i := range items {
		sub.Items = append(sub.Items, submission.Item{
			ID:             fmt.Sprint("item-", i),
			Group:          fmt.Sprint("group-", i/8),
			PromptTokens:   500,
			ExpectedTokens: 1000 + i*37%4000,
		})
	}
	b := newBatch(sub, ledger.Claim{}, nil, nil, nil)
	b.service = "s"
	b.startedAt = r.Timer.Now()
	b.submittedAt = b.startedAt
	b.giveUpAt = b.startedAt.Add(time.Hour)
	b.confirmed(b.startedAt)
	return b
}

// BenchmarkBatch measures what a home does under the lock of a batch: the placement of all items,
// a wake-up without an item to place, and the periodic search for slow streams.
func BenchmarkBatch(b *testing.B) {
	for _, size := range []int{1_000, 9_000} {
		r := newScaleRunner(size)
		b.Run(fmt.Sprintf("dispatch=130/%d", size), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				batch := newScaleBatch(r, 130)
				batch.mu.Lock()
				r.dispatch(batch)
				queued := len(batch.queue)
				batch.ended = true
				batch.mu.Unlock()
				b.StopTimer()
				batch.cancel()
				for _, t := range batch.tasks {
					for t.upstream != nil && t.upstream.InFlight() > 0 {
						time.Sleep(time.Millisecond)
					}
				}
				if queued > 0 {
					b.Fatalf("%d of 130 items were not placed", queued)
				}
				b.StartTimer()
			}
		})
		batch := newScaleBatch(r, 130)
		b.Run(fmt.Sprintf("candidates/%d", size), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				r.availableCandidates(batch, r.Timer.Now())
			}
		})
		b.Run(fmt.Sprintf("check/%d", size), func(b *testing.B) {
			batch := newScaleBatch(r, 130)
			batch.route.ResultDeadline = 7 * time.Second
			batch.medianPace = 50 * time.Millisecond
			batch.mu.Lock()
			r.dispatch(batch)
			batch.mu.Unlock()
			work := make(map[string]time.Duration)
			b.ReportAllocs()
			for b.Loop() {
				r.checkBatch(batch, work, r.Timer.Now())
			}
			batch.mu.Lock()
			batch.ended = true
			batch.mu.Unlock()
			batch.cancel()
		})
	}
}
