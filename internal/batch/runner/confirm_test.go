package runner

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/batch/submission"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/engine"
	"github.com/egretbend/egretbend/internal/route/catalog"
	"github.com/egretbend/egretbend/internal/route/upstream"
	"github.com/egretbend/egretbend/internal/route/wire"
	"github.com/egretbend/egretbend/internal/standin/memorystore"
)

// resendingBench returns a bench whose engines lose each stream after one event, so that the
// item is sent on and on, and functions that return the time of the last attempt and cut the
// runner off from the key-value service.
func resendingBench(t *testing.T) (b *testBench, lastSent func() timer.Instant, cut *atomic.Bool) {
	var mu sync.Mutex
	var last timer.Instant
	b = newTestBench(t, func(ctx context.Context, _ *catalog.Upstream, attempt Attempt, emit func(Event) error) error {
		mu.Lock()
		last = b.clock.Now()
		mu.Unlock()
		timer.Wait(b.clock, 50*time.Millisecond, ctx.Done())
		_ = emitEvents(attempt.After, attempt.After+1, 5, emit)
		return engine.ErrIncompleteResponse
	})
	cut = &atomic.Bool{}
	b.store.Fault = func(memorystore.Operation) memorystore.Fault {
		if cut.Load() {
			return memorystore.Down
		}
		return memorystore.None
	}
	return b, func() timer.Instant {
		mu.Lock()
		defer mu.Unlock()
		return last
	}, cut
}

// Guards against an owner that sends items of an ended batch on and on, when the instance that
// stored the end is lost before it tells the owner.
func TestOwnerFindsTheEndInTheLedger(t *testing.T) {
	is := is.New(t)
	b, lastSent, _ := resendingBench(t)
	is.NoErr(b.submit("x"))
	is.True(eventually(func() bool { return lastSent() > 0 }))
	l := *b.runner.Ledger
	_, err := l.End(context.Background(), "b", time.Now())
	is.NoErr(err)
	ended := b.clock.Now()
	is.True(eventually(func() bool { return !b.runner.Has("b") }))
	is.True(b.clock.Now().Sub(ended) < b.route.GiveUpAfter/2) // long before a write fails
	is.True(lastSent().Sub(ended) <= claimTrust)
}

// Guards against an owner that is partitioned from the key-value service and goes on sending
// items of a batch that other instances may have ended, or that sends items after the
// partition has healed before it has looked.
func TestPartitionedOwnerWithholdsItems(t *testing.T) {
	is := is.New(t)
	b, lastSent, cut := resendingBench(t)
	b.runner.StoreDown = func(context.Context) (timer.Instant, bool) { return 0, false }
	is.NoErr(b.submit("x"))
	is.True(eventually(func() bool { return lastSent() > 0 }))
	l := *b.runner.Ledger
	claim, err := l.Find(context.Background(), "b")
	is.NoErr(err)
	cut.Store(true)
	began := b.clock.Now()
	is.True(eventually(func() bool { return b.clock.Now().Sub(began) > 2*claimTrust }))
	is.True(lastSent().Sub(began) <= claimTrust+50*time.Millisecond)
	is.True(b.runner.Has("b"))
	cut.Store(false)
	is.True(eventually(func() bool { return b.clock.Now().Sub(lastSent()) < 50*time.Millisecond })) // confirmed again
	cut.Store(true)
	began = b.clock.Now()
	is.True(eventually(func() bool { return b.clock.Now().Sub(began) > 2*claimTrust }))
	stopped := lastSent()
	l.Self.Instance = "j"
	cut.Store(false)
	// The runner may read its claim before this, and sends items until it reads it again.
	_, err = l.TakeOver(context.Background(), claim, "")
	is.NoErr(err)
	taken := b.clock.Now()
	is.True(eventually(func() bool { return !b.runner.Has("b") }))
	is.True(lastSent() == stopped || lastSent().Sub(taken) <= claimTrust)
}

// Guards against an item that is written after the trust in its claim has ended, as its
// connection was opened meanwhile or its instance was paused.
func TestItemIsWithheldBeforeItsFirstByte(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	clock := &timer.Manual{}
	r := &Runner{Timer: clock}
	b := &Batch{ctx: context.Background()}
	b.confirmed(clock.Now())
	var client wire.Client
	defer client.CloseIdle()
	send := func() (sent bool, err error) {
		req, err := http.NewRequestWithContext(r.withClaimCheck(b), http.MethodGet, server.URL, nil)
		is.NoErr(err)
		_, sent, err = client.Do(req, wire.Fresh)
		return sent, err
	}
	_, err := send()
	is.NoErr(err)
	clock.Advance(claimTrust)
	sent, err := send()
	is.True(errors.Is(err, engine.ErrWithdrawn))
	u := &catalog.Upstream{Upstream: &upstream.Upstream{}}
	u.Begin()
	r.recordOutcome(&task{}, u, err, false, clock.Now())
	is.True(!u.BackingOff(clock.Now())) // the engine did nothing wrong
	is.Equal(u.InFlight(), int64(0))
	is.Equal(sent, false)
}

// Guards against a step that stands still while the key-value service is down for all
// instances, when no batch can be ended.
func TestOwnerGoesOnWhileStoreIsDown(t *testing.T) {
	is := is.New(t)
	b, lastSent, cut := resendingBench(t)
	b.runner.StoreDown = func(context.Context) (timer.Instant, bool) { return b.clock.Now(), true }
	is.NoErr(b.submit("x"))
	cut.Store(true)
	began := b.clock.Now()
	is.True(eventually(func() bool { return lastSent().Sub(began) > 2*claimTrust }))
}

// Guards against reading the claim of a batch whose results are written all the time.
func TestWriteConfirmsClaim(t *testing.T) {
	is := is.New(t)
	var b *testBench
	b = newTestBench(t, func(ctx context.Context, _ *catalog.Upstream, _ Attempt, emit func(Event) error) error {
		timer.Wait(b.clock, 200*time.Millisecond, ctx.Done())
		return emitEvents(0, 1, 5, emit)
	})
	is.NoErr(b.submit("x"))
	accepted := b.clock.Now()
	is.Equal(len(b.waitForResults(1)), 1)
	is.Equal(b.store.CallCount(memorystore.Get), 0)
	batch := b.runner.find("b")
	batch.mu.Lock()
	defer batch.mu.Unlock()
	is.True(batch.confirmation.at > accepted)
}

// A group that was not whole at the end of a step is submitted again under the same IDs.
// Guards against the end of the first batch stopping the items of the second.
func TestEndLeavesSameItemsOfLaterBatch(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	proceed := make(chan struct{})
	b := newTestBench(t, func(ctx context.Context, _ *catalog.Upstream, _ Attempt, emit func(Event) error) error {
		select {
		case <-proceed:
			return emitEvents(0, 2, 5, emit)
		case <-ctx.Done():
			return ctx.Err()
		}
	})
	is.NoErr(b.submit("x"))
	later := b.newSubmission("x")
	later.ID, later.Step = "c", 1
	is.NoErr(b.runner.Submit(ctx, later, b.route))
	is.NoErr(b.runner.End(ctx, "b"))
	close(proceed)
	is.True(eventually(func() bool {
		page, err := b.runner.Read(ctx, "c", 0, 0)
		return err == nil && len(page.Results) == 1
	}))
}

// Guards against items that are missing in the list of results because their time ended while
// their owner was partitioned from the key-value service.
func TestItemsGivenUpWhilePartitionedAreListedDead(t *testing.T) {
	is := is.New(t)
	b, lastSent, cut := resendingBench(t)
	b.runner.StoreDown = func(context.Context) (timer.Instant, bool) { return 0, false }
	b.route.GiveUpAfter = 3 * time.Second
	is.NoErr(b.submit("x", "y"))
	is.True(eventually(func() bool { return lastSent() > 0 }))
	cut.Store(true)
	began := b.clock.Now()
	is.True(eventually(func() bool { return b.clock.Now().Sub(began) > b.route.GiveUpAfter }))
	cut.Store(false)
	for _, r := range b.waitForResults(2) {
		is.Equal(r.State, submission.Dead)
	}
	page, err := b.runner.Read(context.Background(), "b", 1, 0) // from any position
	is.NoErr(err)
	is.Equal(len(page.Results), 1)
}

// Guards against reading claims more often than needed, as each read is billed, and against a slow
// or failed read that is followed by one too late to keep the claim trusted.
func TestClaimIsReadLessOftenWhileReadsAreQuick(t *testing.T) {
	is := is.New(t)
	b, lastSent, cut := resendingBench(t)
	b.runner.StoreDown = func(context.Context) (timer.Instant, bool) { return 0, false }
	is.NoErr(b.submit("x"))
	began, before := b.clock.Now(), b.store.CallCount(memorystore.Get)
	const period = 15 * time.Second
	is.True(eventually(func() bool { return b.clock.Now().Sub(began) > period }))
	reads := b.store.CallCount(memorystore.Get) - before
	is.True(reads >= 7)
	is.True(reads <= int(period/quickConfirmInterval)+2)
	is.True(b.clock.Now().Sub(lastSent()) < claimTrust)

	batch := b.runner.find("b")
	interval := func() time.Duration {
		batch.mu.Lock()
		defer batch.mu.Unlock()
		return batch.confirmation.interval()
	}
	is.Equal(interval(), quickConfirmInterval)
	cut.Store(true)
	is.True(eventually(func() bool { return interval() == confirmInterval }))
	cut.Store(false)
	is.True(eventually(func() bool { return interval() == quickConfirmInterval }))
	slow := &Batch{ctx: context.Background()}
	slow.confirmation.quick = true
	is.Equal(b.runner.claimRead(slow, b.clock.Now().Add(-2*quickRead), nil), false)
	is.Equal(slow.confirmation.interval(), confirmInterval)
}
