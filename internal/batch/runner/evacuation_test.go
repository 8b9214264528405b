package runner

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/batch/ledger"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/engine"
	"github.com/egretbend/egretbend/internal/route/catalog"
	"github.com/egretbend/egretbend/internal/route/wire"
)

// setDomains lists the engines of a testBench again, each in the domain of its name.
func (b *testBench) setDomains(versions map[string]uint64) {
	var listed []catalog.Entry
	for _, id := range []string{"one", "two"} {
		listed = append(listed, catalog.Entry{
			ID:            id,
			Service:       "s",
			Address:       id,
			FailureDomain: id,
			Slots:         2,
			Born:          1,
			Versions:      map[string]uint64{"m": versions[id]},
		})
	}
	b.runner.Upstreams.Update(listed, nil)
}

// Guards against an item that is sent to an engine whose domain was evacuated while the attempt
// waited for its connection, and against a stream that is resumed at an engine whose domain was
// evacuated during the attempt before.
func TestItemsAvoidEvacuatedDomain(t *testing.T) {
	is := is.New(t)
	var attempts, received, late atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received.Add(1) }))
	defer server.Close()
	var client wire.Client
	defer client.CloseIdle()
	var upstreams *catalog.Upstreams
	b := newTestBench(t, func(ctx context.Context, u *catalog.Upstream, attempt Attempt, emit func(Event) error) error {
		if u.Evacuated() {
			late.Add(1)
		}
		switch attempts.Add(1) {
		case 1:
			upstreams.SetEvacuated(map[string]bool{u.FailureDomain: true})
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL, nil)
			is.NoErr(err)
			_, _, err = client.Do(req, wire.Pooled)
			is.True(errors.Is(err, engine.ErrWithdrawn))
			return err
		case 2:
			is.NoErr(emitEvents(attempt.After, 2, 5, emit))
			upstreams.SetEvacuated(map[string]bool{u.FailureDomain: true})
			return engine.ErrIncompleteResponse
		}
		return emitEvents(attempt.After, 4, 5, emit)
	})
	upstreams = b.runner.Upstreams
	b.setDomains(map[string]uint64{"one": 5, "two": 5})
	is.NoErr(b.submit("x1"))
	is.Equal(len(b.waitForResults(1)), 1)
	is.Equal(attempts.Load(), int32(3))
	is.Equal(received.Load(), int32(0))
	is.Equal(late.Load(), int32(0))
}

// Guards against items at an engine that returned with older weights than the others, and against
// one that gets none for good because it does not load.
func TestReturnedEngineLoadsWeightsFirst(t *testing.T) {
	is := is.New(t)
	b := newTestBench(t, nil)
	b.setDomains(map[string]uint64{"one": 5, "two": 6})
	b.runner.Upstreams.SetEvacuated(map[string]bool{"one": true})
	b.runner.Upstreams.SetEvacuated(nil)
	batch := newBatch(b.newSubmission("x"), ledger.Claim{}, nil, nil, nil)
	batch.service = "s"
	now := b.clock.Now()
	is.Equal(len(b.runner.usableCandidates(batch, now)), 1)
	is.Equal(len(b.runner.usableCandidates(batch, now.Add(maxReloadTime+time.Second))), 2)
	b.setDomains(map[string]uint64{"one": 6, "two": 6})
	is.Equal(len(b.runner.usableCandidates(batch, now)), 2)
}

// Guards against a long stream that stays in an evacuated domain until that is shut down, and
// against one that moves, and is read again, although it ends soon.
func TestLongStreamLeavesEvacuatedDomain(t *testing.T) {
	for tokens, attempts := range map[int]int{1000: 2, 20: 1} {
		is := is.New(t)
		var b *testBench
		b = newTestBench(t, func(ctx context.Context, u *catalog.Upstream, attempt Attempt, emit func(Event) error) error {
			is.True(attempt.After == 0 || u.ID == "two")
			for n := attempt.After + 1; n <= 20; n++ {
				if attempt.After == 0 && !timer.Wait(b.clock, 50*time.Millisecond, ctx.Done()) {
					return ctx.Err()
				}
				if err := emitEvents(n-1, n, 5, emit); err != nil {
					return err
				}
				b.runner.Upstreams.SetEvacuated(map[string]bool{"one": true})
			}
			return nil
		})
		b.setDomains(map[string]uint64{"one": 5, "two": 5})
		b.runner.Upstreams.SetEvacuated(map[string]bool{"two": true})
		b.runner.lengths.Record(100, 100)
		sub := b.newSubmission("x")
		sub.Items[0].ExpectedTokens = tokens
		is.NoErr(b.runner.Submit(context.Background(), sub, b.route))
		is.Equal(len(b.waitForResults(1)), 1)
		b.generator.mu.Lock()
		is.Equal(len(b.generator.calls), attempts)
		b.generator.mu.Unlock()
	}
}
