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
	"github.com/egretbend/egretbend/internal/standin/space"
)

// copyOf finds the same copy of any batch.
type copyOf standby.Copy

// Find implements Copies.
func (c copyOf) Find(context.Context, string) standby.Copy { return standby.Copy(c) }

// Guards against texts that are made once more though the successor of their owner has a copy.
func TestSuccessorGoesOnFromTheCopy(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	after := map[string]int{}
	b := newBench(t, func(_ context.Context, _ *catalog.Upstream, g Generation, emit func(Event) error) error {
		mu.Lock()
		after[g.Item.ID] = g.After
		mu.Unlock()
		return events(g.After, 6, 5, emit)
	})
	other := &ledger.Ledger{
		Space: b.store,
		Self:  ledger.Owner{Instance: "lost", Incarnation: "1"},
	}
	seen, err := other.Accept(context.Background(), b.batch("x", "y", "z"))
	is.NoErr(err)
	b.runner.Copies = copyOf{
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
	for _, r := range b.results(3) {
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

// Guards against a copy of a copy without the events that its second owner did not have one by one.
func TestRestoredTextIsCopiedWhole(t *testing.T) {
	is := is.New(t)
	sub := &submission.Submission{
		ID:    "b",
		Items: []submission.Item{{ID: "x", Group: "g"}, {ID: "y", Group: "g"}},
	}
	b := newBatch(sub, ledger.Claim{}, nil, []submission.Progress{{Item: "x", Events: []string{"e1"}}}, nil)
	b.mu.Lock()
	defer b.mu.Unlock()
	is.Equal(b.restore([]submission.Result{{Item: "x", State: submission.Completed, Text: "e1\ne2"}}, 1), 1)
	is.Equal(len(b.queue), 1)
	d, marks := b.changes(nil)
	is.Equal(len(d.Pieces), 1)
	is.Equal(d.Pieces[0].Result.Text, "e1\ne2")
	is.Equal(len(d.Pieces[0].Events), 0)
	is.Equal(marks["x"], standby.Done)
}

// Guards against the loss of all texts of a batch whose owner stops while the service is away.
func TestBatchThatIsNotHandedOverStaysWithTheCopies(t *testing.T) {
	is := is.New(t)
	b := newBench(t, func(ctx context.Context, _ *catalog.Upstream, _ Generation, emit func(Event) error) error {
		if err := events(0, 3, 5, emit); err != nil {
			return err
		}
		<-ctx.Done()
		return ctx.Err()
	})
	is.NoErr(b.submit("x"))
	is.True(until(func() bool {
		_, news, _ := b.runner.Changes(nil)
		return len(news) == 1 && len(news[0].Pieces) == 1 && len(news[0].Pieces[0].Events) == 3
	}))
	b.store.Fault = func(space.Call) space.Fault { return space.Down }
	err := b.runner.HandOver(context.Background(), "b", ledger.Owner{Instance: "next"})
	is.True(errors.Is(err, keyvalue.ErrDown))
	open, news, _ := b.runner.Changes(nil)
	is.Equal(open, []string{"b"})
	is.Equal(len(news[0].Pieces[0].Events), 3)
}

// Guards against copies of what was sent, listed or ended already.
func TestChangesAreWhatIsNew(t *testing.T) {
	is := is.New(t)
	goOn := make(chan struct{})
	b := newBench(t, func(_ context.Context, _ *catalog.Upstream, g Generation, emit func(Event) error) error {
		if err := events(0, 3, 5, emit); err != nil || g.Item.ID == "x" {
			return err
		}
		<-goOn
		return events(3, 5, 5, emit)
	})
	is.NoErr(b.submit("x", "y"))
	is.Equal(len(b.results(1)), 1)
	_, news, marks := b.runner.Changes(nil)
	is.Equal(len(news[0].Pieces), 1) // x is listed
	is.Equal(news[0].Pieces[0].Item, "y")
	_, news, _ = b.runner.Changes(marks)
	is.Equal(len(news), 0)
	close(goOn)
	is.Equal(len(b.results(2)), 2)
	is.True(until(func() bool {
		open, _, _ := b.runner.Changes(marks)
		return len(open) == 0
	}))
}

// Guards against an item that fails at each run and gets all attempts of its route anew from
// each successor of its owner.
func TestFailuresOutliveTheOwner(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int32
	owner := func(fails int32) *bench {
		until := runs.Load() + fails
		return newBench(t, func(ctx context.Context, _ *catalog.Upstream, _ Generation, _ func(Event) error) error {
			if runs.Load() < until {
				runs.Add(1)
				return engine.ErrAttemptFailed
			}
			<-ctx.Done()
			return ctx.Err()
		})
	}
	first := owner(1)
	is.NoErr(first.submit("bad"))
	is.True(until(func() bool { return runs.Load() == 1 }))
	var copies standby.Copies
	is.True(until(func() bool {
		open, news, _ := first.runner.Changes(nil)
		is.NoErr(copies.Take(standby.Heartbeat{Open: open, Deltas: news}, 1))
		found, _ := copies.Find("b")
		return len(found.Progress) == 1
	}))
	found, _ := copies.Find("b")

	second := owner(10)
	other := &ledger.Ledger{
		Space: second.store,
		Self:  ledger.Owner{Instance: "lost", Incarnation: "1"},
	}
	seen, err := other.Accept(context.Background(), second.batch("bad"))
	is.NoErr(err)
	second.runner.Copies = copyOf(found)
	claim, err := second.runner.Ledger.TakeOver(context.Background(), seen, "")
	is.NoErr(err)
	is.NoErr(second.runner.Adopt(context.Background(), claim))
	got := second.results(1)
	is.Equal(len(got), 1)
	is.Equal(got[0].State, submission.Dead)
	is.Equal(int(runs.Load()), second.route.Attempts)
}
