package runner

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/batch/ledger"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
	"github.com/egretbend/egretbend/internal/route/catalog"
	"github.com/egretbend/egretbend/internal/standin/memorystore"
)

// The key-value service is unavailable for longer than a step may wait. The items
// are generated in the meantime, but nobody may read them: after a power failure
// they would be gone, and another instance would generate others. Once the batch
// is stored all of them are listed.
func TestUnstoredBatchIsGeneratedButNotReadable(t *testing.T) {
	is := is.New(t)
	b := newTestBench(t, func(_ context.Context, _ *catalog.Upstream, _ Attempt, emit func(Event) error) error {
		return emitEvents(0, 3, 5, emit)
	})
	b.store.Fault = func(memorystore.Operation) memorystore.Fault { return memorystore.Down }
	sub := b.newSubmission("x", "y")
	err := b.runner.Submit(context.Background(), sub, b.route)
	is.True(errors.Is(err, keyvalue.ErrUnavailable))
	b.runner.StartUnstored(sub, b.route)
	generated := func() bool {
		batch := b.runner.find("b")
		batch.mu.Lock()
		defer batch.mu.Unlock()
		return len(batch.pending) == 2
	}
	is.True(eventually(generated))
	_, err = b.runner.Read(context.Background(), "b", 0, 0)
	is.True(errors.Is(err, ErrNotRunHere))
	_, _, err = b.runner.Body("b", "x")
	is.True(errors.Is(err, ErrNotRunHere))
	is.Equal(b.runner.Has("b"), false)
	is.Equal(len(b.runner.Claims()), 0)

	b.store.Fault = nil
	is.NoErr(b.runner.Submit(context.Background(), sub, b.route))
	is.Equal(len(b.waitForResults(2)), 2)
	is.True(b.runner.Has("b"))
}

// Guards against a batch that could not be stored, is no longer requested, and
// still occupies engines until it is complete.
func TestPreparedBatchEndsWhenNotRequested(t *testing.T) {
	is := is.New(t)
	ended := make(chan struct{}, 1)
	b := newTestBench(t, func(ctx context.Context, _ *catalog.Upstream, _ Attempt, _ func(Event) error) error {
		<-ctx.Done()
		ended <- struct{}{}
		return ctx.Err()
	})
	b.runner.StartUnstored(b.newSubmission("x"), b.route)
	<-ended
	is.True(eventually(func() bool { return b.runner.find("b") == nil }))
}

// Guards against a batch that two instances run: another one has stored it while
// it runs here without being stored.
func TestPreparedBatchYieldsToItsOwner(t *testing.T) {
	is := is.New(t)
	b := newTestBench(t, func(ctx context.Context, _ *catalog.Upstream, _ Attempt, _ func(Event) error) error {
		<-ctx.Done()
		return ctx.Err()
	})
	sub := b.newSubmission("x")
	b.runner.StartUnstored(sub, b.route)
	other := &ledger.Ledger{
		Store: b.store,
		Self: ledger.Owner{
			Instance: "other",
		},
	}
	_, err := other.Accept(context.Background(), sub)
	is.NoErr(err)
	is.True(errors.Is(b.runner.Submit(context.Background(), sub, b.route), ledger.ErrExists))
	is.Equal(b.runner.find("b"), nil)
}

// The batch was stored but the answer was lost, and the periodic search for
// batches finds it in the ledger. It must continue with what was already
// generated.
func TestPreparedBatchIsFoundInTheLedger(t *testing.T) {
	is := is.New(t)
	b := newTestBench(t, func(_ context.Context, _ *catalog.Upstream, _ Attempt, emit func(Event) error) error {
		return emitEvents(0, 3, 5, emit)
	})
	sub := b.newSubmission("x")
	b.runner.StartUnstored(sub, b.route)
	claim, err := b.runner.Ledger.Accept(context.Background(), sub)
	is.NoErr(err)
	is.NoErr(b.runner.Adopt(context.Background(), claim))
	is.Equal(len(b.waitForResults(1)), 1)
	is.Equal(len(b.generator.calls), 1) // generated once
}

// endingStore ends a batch just before it is read.
type endingStore struct {
	*memorystore.Store
	endBatch func()
}

// Range implements keyvalue.TransactionalStore.
func (s *endingStore) Range(ctx context.Context, prefix string, consistency keyvalue.Consistency) (keyvalue.Listing, error) {
	s.endBatch()
	return s.Store.Range(ctx, prefix, consistency)
}

// A trainer's submission arrives again just as its batch ends. If the trainer
// were told that the batch has not run, it would take results for lost that it
// has already read.
func TestResubmittedBatchThatJustEndedExists(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	b := newTestBench(t, nil)
	sub := b.newSubmission("x")
	l := *b.runner.Ledger
	_, err := l.Accept(ctx, sub)
	is.NoErr(err)
	b.runner.Ledger.Store = &endingStore{
		Store: b.store,
		endBatch: func() {
			_, err := l.End(ctx, "b", time.Now())
			is.NoErr(err)
		},
	}
	is.True(errors.Is(b.runner.Submit(ctx, sub, b.route), ledger.ErrExists))
	is.Equal(b.runner.Has("b"), false)
}
