package runner

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/batch/ledger"
	"github.com/egretbend/egretbend/internal/batch/standby"
	"github.com/egretbend/egretbend/internal/batch/submission"
	"github.com/egretbend/egretbend/internal/outside/engine"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
	"github.com/egretbend/egretbend/internal/route/catalog"
	"github.com/egretbend/egretbend/internal/standin/memorystore"
)

// fixedCopies finds the same copy of any batch.
type fixedCopies standby.Copy

// Find implements CopyFinder.
func (c fixedCopies) Find(context.Context, string) standby.Copy { return standby.Copy(c) }

// Guards against texts that are generated again although the owner's successor
// has a copy of them.
func TestSuccessorContinuesFromCopy(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	after := map[string]int{}
	b := newTestBench(t, func(_ context.Context, _ *catalog.Upstream, attempt Attempt, emit func(Event) error) error {
		mu.Lock()
		after[attempt.Item.ID] = attempt.After
		mu.Unlock()
		return emitEvents(attempt.After, 6, 5, emit)
	})
	other := &ledger.Ledger{
		Store: b.store,
		Self:  ledger.Owner{Instance: "lost", Incarnation: "1"},
	}
	seen, err := other.Accept(context.Background(), b.newSubmission("x", "y", "z"))
	is.NoErr(err)
	b.runner.CopyFinder = fixedCopies{
		Results: []submission.Result{
			{Item: "x", State: submission.Completed, Text: "whole", Versions: []uint64{5}, Score: "proof"},
			{Item: "of another batch", State: submission.Completed},
		},
		Progress: []submission.Progress{
			{Item: "y", Events: []string{"e1", "e2", "e3"}, Versions: []uint64{4}},
			{Item: "z", Events: []string{"old"}, Versions: []uint64{3}}, // too old for the batch
		},
	}
	claim, err := b.runner.Ledger.TakeOver(context.Background(), seen, "")
	is.NoErr(err)
	is.NoErr(b.runner.Adopt(context.Background(), claim))
	got := map[string]submission.Result{}
	for _, r := range b.waitForResults(3) {
		got[r.Item] = r
	}
	is.Equal(len(got), 3)
	is.Equal(got["x"].Text, "whole")
	is.Equal(got["y"].Text, "e1\ne2\ne3\ne4\ne5\ne6")
	is.Equal(got["z"].Text, "e1\ne2\ne3\ne4\ne5\ne6")
	mu.Lock()
	defer mu.Unlock()
	is.Equal(after, map[string]int{"y": 3, "z": 0})
}

// Guards against a copy that lacks events: the second owner has restored a result
// with more text than the events that it knows, and copies it to its own
// successor.
func TestRestoredTextIsCopiedInFull(t *testing.T) {
	is := is.New(t)
	sub := &submission.Submission{
		ID:    "b",
		Items: []submission.Item{{ID: "x", Group: "g"}, {ID: "y", Group: "g"}},
	}
	b := newBatch(sub, ledger.Claim{}, nil, []submission.Progress{{Item: "x", Events: []string{"e1"}}}, nil)
	b.mu.Lock()
	defer b.mu.Unlock()
	is.Equal(b.restoreResults([]submission.Result{{Item: "x", State: submission.Completed, Text: "e1\ne2"}}, 1), 1)
	is.Equal(len(b.queue), 1)
	d, marks := b.changesSince(nil)
	is.Equal(len(d.Pieces), 1)
	is.Equal(d.Pieces[0].Result.Text, "e1\ne2")
	is.Equal(len(d.Pieces[0].Events), 0)
	is.True(marks["x"].Result)
}

// Guards against the loss of all texts of a batch whose owner stops while the
// key-value service is unavailable: the hand-over fails, so the successors must
// keep their copies.
func TestFailedHandOverKeepsCopies(t *testing.T) {
	is := is.New(t)
	b := newTestBench(t, func(ctx context.Context, _ *catalog.Upstream, _ Attempt, emit func(Event) error) error {
		if err := emitEvents(0, 3, 5, emit); err != nil {
			return err
		}
		<-ctx.Done()
		return ctx.Err()
	})
	is.NoErr(b.submit("x"))
	is.True(eventually(func() bool {
		_, deltas, _ := b.runner.Changes(nil, nil)
		return len(deltas) == 1 && len(deltas[0].Pieces) == 1 && len(deltas[0].Pieces[0].Events) == 3
	}))
	b.store.Fault = func(memorystore.Operation) memorystore.Fault { return memorystore.Down }
	err := b.runner.HandOver(context.Background(), "b", ledger.Owner{Instance: "next"})
	is.True(errors.Is(err, keyvalue.ErrUnavailable))
	open, deltas, _ := b.runner.Changes(nil, nil)
	is.Equal(open, []string{"b"})
	is.Equal(len(deltas[0].Pieces[0].Events), 3)
}

// Guards against copying again what was already sent or listed, and against
// copying batches that have ended.
func TestChangesContainOnlyNewPieces(t *testing.T) {
	is := is.New(t)
	proceed := make(chan struct{})
	b := newTestBench(t, func(_ context.Context, _ *catalog.Upstream, attempt Attempt, emit func(Event) error) error {
		if err := emitEvents(0, 3, 5, emit); err != nil || attempt.Item.ID == "x" {
			return err
		}
		<-proceed
		return emitEvents(3, 5, 5, emit)
	})
	is.NoErr(b.submit("x", "y"))
	is.Equal(len(b.waitForResults(1)), 1)
	_, deltas, marks := b.runner.Changes(nil, nil)
	is.Equal(len(deltas[0].Pieces), 1) // x is listed already
	is.Equal(deltas[0].Pieces[0].Item, "y")
	_, deltas, _ = b.runner.Changes(marks, nil)
	is.Equal(len(deltas), 0)
	close(proceed)
	is.Equal(len(b.waitForResults(2)), 2)
	is.True(eventually(func() bool {
		open, _, _ := b.runner.Changes(marks, nil)
		return len(open) == 0
	}))
}

// Guards against an item that fails on every run and gets all attempts of its
// route again from each successor of its owner.
func TestSuccessorKeepsFailureCount(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int32
	owner := func(fails int32) *testBench {
		failUntil := runs.Load() + fails
		return newTestBench(t, func(ctx context.Context, _ *catalog.Upstream, _ Attempt, _ func(Event) error) error {
			if runs.Load() < failUntil {
				runs.Add(1)
				return engine.ErrAttemptFailed
			}
			<-ctx.Done()
			return ctx.Err()
		})
	}
	first := owner(1)
	is.NoErr(first.submit("bad"))
	is.True(eventually(func() bool { return runs.Load() == 1 }))
	var copies standby.Copies
	is.True(eventually(func() bool {
		open, deltas, _ := first.runner.Changes(nil, nil)
		is.NoErr(copies.Apply(standby.Heartbeat{Open: open, Deltas: deltas}, 1))
		found, _ := copies.Find("b")
		return len(found.Progress) == 1
	}))
	found, _ := copies.Find("b")

	second := owner(10)
	other := &ledger.Ledger{
		Store: second.store,
		Self:  ledger.Owner{Instance: "lost", Incarnation: "1"},
	}
	seen, err := other.Accept(context.Background(), second.newSubmission("bad"))
	is.NoErr(err)
	second.runner.CopyFinder = fixedCopies(found)
	claim, err := second.runner.Ledger.TakeOver(context.Background(), seen, "")
	is.NoErr(err)
	is.NoErr(second.runner.Adopt(context.Background(), claim))
	got := second.waitForResults(1)
	is.Equal(len(got), 1)
	is.Equal(got[0].State, submission.Dead)
	is.Equal(int(runs.Load()), second.route.Attempts)
}
