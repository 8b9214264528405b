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
	"github.com/egretbend/egretbend/internal/standin/space"
)

// The key-value service is away for longer than a step may wait. Its items are
// made meanwhile, but nobody may read them: after a loss of power they would be
// gone, and another instance would make others. Once the batch is stored all of
// them are listed.
func TestBatchIsMadeWhileItCannotBeStored(t *testing.T) {
	is := is.New(t)
	b := newBench(t, func(_ context.Context, _ *catalog.Upstream, _ Generation, emit func(Event) error) error {
		return events(0, 3, 5, emit)
	})
	b.store.Fault = func(space.Call) space.Fault { return space.Down }
	sub := b.batch("x", "y")
	err := b.runner.Submit(context.Background(), sub, b.route)
	is.True(errors.Is(err, keyvalue.ErrDown))
	b.runner.Prepare(sub, b.route)
	made := func() bool {
		batch := b.runner.find("b")
		batch.mu.Lock()
		defer batch.mu.Unlock()
		return len(batch.pending) == 2
	}
	is.True(until(made))
	_, err = b.runner.Read(context.Background(), "b", 0, 0)
	is.True(errors.Is(err, ErrNotHere))
	_, _, err = b.runner.Body("b", "x")
	is.True(errors.Is(err, ErrNotHere))
	is.Equal(b.runner.Has("b"), false)
	is.Equal(len(b.runner.Claims()), 0)

	b.store.Fault = nil
	is.NoErr(b.runner.Submit(context.Background(), sub, b.route))
	is.Equal(len(b.results(2)), 2)
	is.True(b.runner.Has("b"))
}

// Nobody asks for a batch any more that could not be stored. It must not occupy
// engines to its end.
func TestPreparedBatchEndsWhenNobodyAsks(t *testing.T) {
	is := is.New(t)
	ended := make(chan struct{}, 1)
	b := newBench(t, func(ctx context.Context, _ *catalog.Upstream, _ Generation, _ func(Event) error) error {
		<-ctx.Done()
		ended <- struct{}{}
		return ctx.Err()
	})
	b.runner.Prepare(b.batch("x"), b.route)
	<-ended
	is.True(until(func() bool { return b.runner.find("b") == nil }))
}

// Another instance has stored the batch meanwhile. Only one of the two goes on.
func TestPreparedBatchYieldsToItsOwner(t *testing.T) {
	is := is.New(t)
	b := newBench(t, func(ctx context.Context, _ *catalog.Upstream, _ Generation, _ func(Event) error) error {
		<-ctx.Done()
		return ctx.Err()
	})
	sub := b.batch("x")
	b.runner.Prepare(sub, b.route)
	other := &ledger.Ledger{
		Space: b.store,
		Self: ledger.Owner{
			Instance: "other",
		},
	}
	_, err := other.Accept(context.Background(), sub)
	is.NoErr(err)
	is.True(errors.Is(b.runner.Submit(context.Background(), sub, b.route), ledger.ErrExists))
	is.Equal(b.runner.find("b"), nil)
}

// The batch was stored without an answer, and the look for batches finds it. It goes
// on as it is, with what was made of it.
func TestPreparedBatchIsFoundInTheLedger(t *testing.T) {
	is := is.New(t)
	b := newBench(t, func(_ context.Context, _ *catalog.Upstream, _ Generation, emit func(Event) error) error {
		return events(0, 3, 5, emit)
	})
	sub := b.batch("x")
	b.runner.Prepare(sub, b.route)
	claim, err := b.runner.Ledger.Accept(context.Background(), sub)
	is.NoErr(err)
	is.NoErr(b.runner.Adopt(context.Background(), claim))
	is.Equal(len(b.results(1)), 1)
	is.Equal(len(b.script.calls), 1) // made once
}

// endsFirst ends a batch just before it is read.
type endsFirst struct {
	*space.Space
	end func()
}

// Range implements keyvalue.Space.
func (s *endsFirst) Range(ctx context.Context, prefix string, f keyvalue.Freshness) (keyvalue.Listing, error) {
	s.end()
	return s.Space.Range(ctx, prefix, f)
}

// A trainer's submission arrives once more just as its batch ends. Told that the
// batch has not run, it would take results for lost that it has read.
func TestBatchThatHasJustEndedWasAccepted(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	b := newBench(t, nil)
	sub := b.batch("x")
	l := *b.runner.Ledger
	_, err := l.Accept(ctx, sub)
	is.NoErr(err)
	b.runner.Ledger.Space = &endsFirst{
		Space: b.store,
		end:   func() { is.NoErr(l.End(ctx, "b", time.Now())) },
	}
	is.True(errors.Is(b.runner.Submit(ctx, sub, b.route), ledger.ErrExists))
	is.Equal(b.runner.Has("b"), false)
}
