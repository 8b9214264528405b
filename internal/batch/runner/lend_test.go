package runner

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/egretbend/egretbend/internal/batch/ledger"
	"github.com/egretbend/egretbend/internal/batch/schedule"
	"github.com/egretbend/egretbend/internal/kernel/journal"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/engine"
	"github.com/egretbend/egretbend/internal/route/catalog"
)

// fixedAssignment is an EngineAssignment that a test sets.
type fixedAssignment struct {
	models  map[string]string
	crowded map[string]bool
}

// ModelsByEngine implements EngineAssignment.
func (f fixedAssignment) ModelsByEngine(string, bool) map[string]string { return f.models }

// CrowdedModels implements EngineAssignment.
func (f fixedAssignment) CrowdedModels(string) map[string]bool { return f.crowded }

// lendingBench is a test bench whose engine "one" belongs to the model m and "two" to the
// model n. It records the items that run at "two".
type lendingBench struct {
	*testBench
	mu sync.Mutex
	// items is the number of items of the step, completed that of the completed ones.
	items, completed int
	// lentAt holds the start of each attempt at "two" while the step crowds "one".
	lentAt []timer.Instant
	// running and most are the number of items at "two" now, and the largest number
	// while the step crowds "one".
	running, most int
	// refuse makes "two" refuse every item.
	refuse bool
}

func newLendingBench(t *testing.T, crowded bool) *lendingBench {
	b := &lendingBench{}
	b.testBench = newTestBench(t, func(ctx context.Context, u *catalog.Upstream, attempt Attempt, emit func(Event) error) error {
		if u.ID == "two" {
			b.mu.Lock()
			crowds := b.items-b.completed > 4
			if crowds {
				b.lentAt = append(b.lentAt, b.clock.Now())
			}
			if b.refuse {
				b.mu.Unlock()
				return &engine.RefusedError{}
			}
			b.running++
			if crowds {
				b.most = max(b.most, b.running)
			}
			b.mu.Unlock()
			defer func() {
				b.mu.Lock()
				defer b.mu.Unlock()
				b.running--
			}()
		}
		attempt.OnLoadReport(engine.LoadReport{Running: 1, Slots: 2})
		for n := attempt.After + 1; n <= 10; n++ {
			if !timer.Wait(b.clock, 50*time.Millisecond, ctx.Done()) {
				return ctx.Err()
			}
			if err := emitEvents(n-1, n, 5, emit); err != nil {
				return err
			}
		}
		b.mu.Lock()
		defer b.mu.Unlock()
		b.completed++
		return nil
	})
	b.runner.EngineAssignment = fixedAssignment{
		models:  map[string]string{"one": "m", "two": "n"},
		crowded: map[string]bool{"m": true, "n": crowded},
	}
	b.runner.lengths.Record(8000, 100)
	for _, u := range b.runner.Upstreams.Group("s").Upstreams {
		u.RecordPace(50*time.Millisecond, b.clock.Now())
	}
	return b
}

// submitShort submits items that run for half a second each.
func (b *lendingBench) submitShort(n int) error {
	b.items = n
	var ids []string
	for i := range n {
		ids = append(ids, fmt.Sprint("i", i))
	}
	sub := b.newSubmission(ids...)
	for i := range sub.Items {
		sub.Items[i].ExpectedTokens = 800
	}
	return b.runner.Submit(context.Background(), sub, b.route)
}

// Guards against a crowded step that uses an engine of another model before it has had free
// slots for a while, fills all its slots, or does not use it at all.
func TestCrowdedStepBorrowsFreeSlots(t *testing.T) {
	is := is.New(t)
	b := newLendingBench(t, false)
	start := b.clock.Now()
	is.NoErr(b.submitShort(24))
	is.Equal(len(b.waitForResults(24)), 24)
	b.mu.Lock()
	defer b.mu.Unlock()
	is.True(len(b.lentAt) > 0)
	is.True(b.lentAt[0].Sub(start) >= 300*time.Millisecond)
	is.Equal(b.most, 1)
}

// Guards against a step whose borrowing can't be seen in the log and the metrics, or is
// logged for each item.
func TestBorrowingIsLogged(t *testing.T) {
	is := is.New(t)
	b := newTestBench(t, nil)
	r := b.runner
	var err error
	r.Journal, err = journal.Open(io.Discard, "info", "i")
	is.NoErr(err)
	r.Metrics = NewMetrics(prometheus.NewRegistry())
	batch := newBatch(b.newSubmission("x", "y"), ledger.Claim{}, nil, nil, nil)
	lent := candidate{
		u:     r.Upstreams.Group("s").Upstreams[0],
		model: "n",
	}
	borrow := func(t *task, now timer.Instant, outcome error) {
		t.upstream = lent.u
		r.beginLoan(batch, t, lent, now)
		is.Equal(testutil.ToFloat64(r.Metrics.lent), 1.0)
		r.checkBorrowing(batch, now)
		r.endLoan(batch, t, outcome, now.Add(500*time.Millisecond))
		is.Equal(testutil.ToFloat64(r.Metrics.lent), 0.0)
		r.checkBorrowing(batch, now.Add(900*time.Millisecond))
	}
	batch.mu.Lock()
	defer batch.mu.Unlock()
	now := timer.Instant(time.Hour)
	borrow(batch.tasks["x"], now, nil)
	borrow(batch.tasks["y"], now.Add(time.Second), &engine.RefusedError{})
	r.endLoan(batch, batch.tasks["x"], nil, now) // an attempt at an own engine
	r.checkBorrowing(batch, now.Add(1500*time.Millisecond+borrowedLinger))
	r.checkBorrowing(batch, now.Add(time.Minute))
	records := r.Journal.FindDecisions("b")
	is.Equal(len(records), 2)
	is.Equal(records[0].Fields["state"], "began")
	is.Equal(records[0].Fields["owner"], "n")
	is.Equal(records[1].Fields["state"], "stopped")
	is.Equal(records[1].Fields["sent"], "2")
	is.Equal(records[1].Fields["refused"], "1")
	// The end of a step ends its borrowing.
	borrow(batch.tasks["x"], now.Add(time.Minute), nil)
	batch.ended = true
	r.checkBorrowing(batch, now.Add(61*time.Second))
	is.Equal(len(r.Journal.FindDecisions("b")), 4)
}

// Guards against an engine that is asked for slots again and again after it refused.
func TestEngineThatRefusesIsNotBorrowedForAWhile(t *testing.T) {
	is := is.New(t)
	b := newLendingBench(t, false)
	b.refuse = true
	is.NoErr(b.submitShort(40))
	is.True(eventually(func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.items-b.completed <= 4
	}))
	b.mu.Lock()
	defer b.mu.Unlock()
	is.True(len(b.lentAt) > 0)
	for i := 1; i < len(b.lentAt); i++ {
		is.True(b.lentAt[i].Sub(b.lentAt[i-1]) >= 2*time.Second)
	}
}

// Guards against two steps that both crowd their engines and take slots from each other,
// and against items that wait for 5 s or more while engines of a crowded model are idle.
func TestCrowdedModelsLendOnlyAfterLongWaits(t *testing.T) {
	is := is.New(t)
	b := newLendingBench(t, true)
	start := b.clock.Now()
	is.NoErr(b.submitShort(40))
	is.Equal(len(b.waitForResults(40)), 40)
	b.mu.Lock()
	defer b.mu.Unlock()
	is.True(len(b.lentAt) > 0)
	is.True(b.lentAt[0].Sub(start) >= maxWaitForCrowded)
}

// Guards against a step that takes the free slots of a model whose own step has waiting
// items at the same instance.
func TestWaitingOwnerDoesNotLend(t *testing.T) {
	is := is.New(t)
	b := newTestBench(t, nil)
	batch := newBatch(b.newSubmission("x"), ledger.Claim{}, nil, nil, nil)
	batch.sub.Model = "n"
	batch.route, batch.service = b.route, "s"
	now := timer.Instant(time.Hour)
	batch.giveUpAt = now.Add(time.Minute)
	candidates := []candidate{{
		Engine: schedule.Engine{
			FreeSlots:  6,
			Slots:      6,
			OtherModel: true,
		},
		u:     b.runner.Upstreams.Group("s").Upstreams[1],
		model: "n",
	}}
	lending := &b.runner.lending
	lends := func(after time.Duration) bool {
		lending.observe(candidates, now.Add(after))
		return len(lending.allowed(candidates, nil, 500*time.Millisecond, now.Add(after))) > 0
	}
	for d := time.Duration(0); d < 300*time.Millisecond; d += checkInterval {
		is.Equal(lends(d), false)
	}
	is.True(lends(300 * time.Millisecond))
	is.True(b.runner.checkBatch(batch, map[string]time.Duration{}, now.Add(350*time.Millisecond)))
	is.Equal(lends(400*time.Millisecond), false)
	// Its last item started: the time begins again.
	for d := 600 * time.Millisecond; d < 900*time.Millisecond; d += checkInterval {
		is.Equal(lends(d), false)
	}
	is.True(lends(900 * time.Millisecond))
}
