package runner

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/batch/ledger"
	"github.com/egretbend/egretbend/internal/batch/submission"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/engine"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
	"github.com/egretbend/egretbend/internal/route/catalog"
	"github.com/egretbend/egretbend/internal/standin/space"
)

// script is a Generator that does what a test says.
type script struct {
	mu    sync.Mutex
	calls []Generation
	do    func(ctx context.Context, u *catalog.Upstream, g Generation, emit func(Event) error) error
}

// Generate implements Generator.
func (s *script) Generate(ctx context.Context, u *catalog.Upstream, g Generation, emit func(Event) error) error {
	s.mu.Lock()
	s.calls = append(s.calls, g)
	s.mu.Unlock()
	return s.do(ctx, u, g, emit)
}

// events emits events from after on, up to last.
func events(after, last int, version uint64, emit func(Event) error) error {
	for n := after + 1; n <= last; n++ {
		if err := emit(Event{
			Number:  n,
			Data:    fmt.Sprint("e", n),
			Version: version,
		}); err != nil {
			return err
		}
	}
	return nil
}

// scores is a Scorer whose answers a test sets.
type scores struct{ err error }

// Score implements Scorer.
func (s scores) Score(context.Context, *submission.Reward) (string, error) { return "proof", s.err }

// bench is a runner with two engines, on a clock that runs by itself.
type bench struct {
	clock  *timer.Manual
	store  *space.Space
	runner *Runner
	script *script
	route  catalog.Route
}

func newBench(t *testing.T, do func(ctx context.Context, u *catalog.Upstream, g Generation, emit func(Event) error) error) *bench {
	b := &bench{
		clock: &timer.Manual{},
		script: &script{
			do: do,
		},
		route: catalog.Route{
			Name:        "r",
			Host:        "h",
			Prefix:      "/",
			Kind:        catalog.Rollout,
			Split:       []catalog.Share{{Service: "s", Weight: 1}},
			Attempts:    2,
			GiveUpAfter: time.Minute,
		},
	}
	b.store = &space.Space{
		Timer: b.clock,
	}
	book := &catalog.Book{
		Timer: b.clock,
	}
	var listed []catalog.Listed
	for _, id := range []string{"one", "two"} {
		listed = append(listed, catalog.Listed{
			ID:       id,
			Service:  "s",
			Address:  id,
			Slots:    2,
			Versions: map[string]uint64{"m": 5},
		})
	}
	book.Update(listed, nil)
	holder := &catalog.Holder{}
	holder.Take(catalog.Configuration{
		Version: 1,
		Routes:  []catalog.Route{b.route},
	}.WithIndex())
	b.runner = &Runner{
		Ledger: &ledger.Ledger{
			Space: b.store,
			Self: ledger.Owner{
				Instance:    "i",
				Incarnation: "1",
			},
			Pause: func(time.Duration) {},
		},
		Book:      book,
		Holder:    holder,
		Generator: b.script,
		Scorer:    scores{},
		Timer:     b.clock,
	}
	b.runner.Start()
	stop := b.clock.Run(20*time.Millisecond, time.Millisecond)
	t.Cleanup(func() {
		b.runner.Stop()
		stop()
	})
	return b
}

func (b *bench) submit(items ...string) error {
	return b.runner.Submit(context.Background(), b.batch(items...), b.route)
}

// batch returns a batch of some items.
func (b *bench) batch(items ...string) *submission.Submission {
	sub := &submission.Submission{
		ID:            "b",
		Host:          "h",
		Path:          "/x",
		Model:         "m",
		OldestVersion: 4,
		SubmittedMS:   time.Now().UnixMilli(),
	}
	for _, id := range items {
		sub.Items = append(sub.Items, submission.Item{
			ID:     id,
			Path:   "/x/" + id,
			Group:  "g",
			Reward: &submission.Reward{ID: "r" + id},
		})
	}
	return sub
}

// results reads until n results are listed.
func (b *bench) results(n int) []submission.Result {
	var page Page
	if !until(func() bool {
		var err error
		page, err = b.runner.Read(context.Background(), "b", 0, 0)
		return err == nil && len(page.Results) >= n
	}) {
		return nil
	}
	return page.Results
}

// until reports whether something holds within some seconds.
func until(holds func() bool) bool {
	return timer.Until(timer.Real{}, time.Millisecond, 5*time.Second, nil, holds)
}

// An engine breaks off a stream in the middle. The text goes on at another
// engine after the last whole event; a trainer finds each event once and the
// versions that made them.
func TestTextIsJoinedOverEngines(t *testing.T) {
	is := is.New(t)
	b := newBench(t, func(_ context.Context, _ *catalog.Upstream, g Generation, emit func(Event) error) error {
		if g.After == 0 {
			_ = events(0, 3, 4, emit)
			return engine.ErrBroken
		}
		return events(g.After, 6, 5, emit)
	})
	is.NoErr(b.submit("x"))
	got := b.results(1)
	is.Equal(len(got), 1)
	is.Equal(got[0].Text, "e1\ne2\ne3\ne4\ne5\ne6")
	is.Equal(got[0].Versions, []uint64{4, 5})
	is.Equal(got[0].Score, "proof")
	is.Equal(got[0].State, submission.Completed)
}

// An engine goes dark while it runs an item. The stream moves to the other one
// long before the step is due.
func TestDarkEngineIsLeft(t *testing.T) {
	is := is.New(t)
	b := newBench(t, func(ctx context.Context, u *catalog.Upstream, g Generation, emit func(Event) error) error {
		if g.After == 0 {
			_ = events(0, 2, 5, emit)
			<-ctx.Done()
			return ctx.Err()
		}
		return events(g.After, 4, 5, emit)
	})
	is.NoErr(b.submit("x"))
	got := b.results(1)
	is.Equal(len(got), 1)
	is.Equal(got[0].Text, "e1\ne2\ne3\ne4")
	b.script.mu.Lock()
	defer b.script.mu.Unlock()
	is.Equal(b.script.calls[1].After, 2) // resumed, not begun anew
}

// An engine's weights turn out older than the trainer allows. Its text is
// dropped: a sample under the bound would teach the model stale answers.
func TestStaleWeightsAreDropped(t *testing.T) {
	is := is.New(t)
	first := true
	var mu sync.Mutex
	b := newBench(t, func(_ context.Context, _ *catalog.Upstream, g Generation, emit func(Event) error) error {
		mu.Lock()
		version := uint64(5)
		if first {
			version = 3
		}
		first = false
		mu.Unlock()
		return events(g.After, 3, version, emit)
	})
	is.NoErr(b.submit("x"))
	got := b.results(1)
	is.Equal(len(got), 1)
	is.Equal(got[0].Versions, []uint64{5})
}

// An item fails at each run. It is listed as dead after the attempts of its
// route and not sent again; its group is complete all the same.
func TestFailingItemEndsDead(t *testing.T) {
	is := is.New(t)
	b := newBench(t, func(_ context.Context, _ *catalog.Upstream, g Generation, emit func(Event) error) error {
		if g.Item.ID == "bad" {
			return engine.ErrAttemptFailed
		}
		return events(0, 1, 5, emit)
	})
	is.NoErr(b.submit("bad", "good"))
	got := b.results(2)
	is.Equal(len(got), 2)
	states := map[string]submission.State{}
	for _, r := range got {
		states[r.Item] = r.State
	}
	is.Equal(states, map[string]submission.State{"bad": submission.Dead, "good": submission.Completed})
	b.script.mu.Lock()
	defer b.script.mu.Unlock()
	is.Equal(len(b.script.calls), 3) // two attempts and the good one
}

// slow is a key-value service whose writes of results take long.
type slow struct {
	*space.Space
	began, goOn chan struct{}
}

// Commit implements keyvalue.Space.
func (s *slow) Commit(ctx context.Context, tx keyvalue.Transaction) (uint64, error) {
	if len(tx.Writes) > 0 && strings.Contains(tx.Writes[0].Key, "/result/") {
		s.began <- struct{}{}
		<-s.goOn
		if err := ctx.Err(); err != nil {
			_, _ = s.Space.Commit(context.Background(), tx)
			return 0, errors.Join(keyvalue.ErrLost, err)
		}
	}
	return s.Space.Commit(ctx, tx)
}

// forgetful is a key-value service that does what it is told to and whose answers
// are lost until it is told otherwise.
type forgetful struct {
	*space.Space
	mu   sync.Mutex
	lost int
}

// Commit implements keyvalue.Space.
func (f *forgetful) Commit(ctx context.Context, tx keyvalue.Transaction) (uint64, error) {
	rev, err := f.Space.Commit(ctx, tx)
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(tx.Writes) > 0 && strings.Contains(tx.Writes[0].Key, "/result/") && f.lost > 0 {
		f.lost--
		return 0, keyvalue.ErrLost
	}
	return rev, err
}

// The answers to the writes of results are lost, though the results stand in the
// ledger. A reader saw them there by way of another instance, and asked the owner
// next: it found nothing at a position that it had read.
func TestOwnerInDoubtSendsReadersToTheLedger(t *testing.T) {
	is := is.New(t)
	b := newBench(t, func(_ context.Context, _ *catalog.Upstream, g Generation, emit func(Event) error) error {
		return events(0, 1, 5, emit)
	})
	b.runner.Ledger.Space = &forgetful{
		Space: b.store,
		lost:  20,
	}
	is.NoErr(b.submit("x"))
	unsure := false
	until(func() bool {
		rec, err := b.runner.Ledger.Load(context.Background(), "b")
		is.NoErr(err)
		page, err := b.runner.Read(context.Background(), "b", 0, 0)
		if len(rec.Results) > 0 && errors.Is(err, ErrNotHere) {
			unsure = true
		}
		return err == nil && len(page.Results) > 0
	})
	is.True(unsure)
	is.Equal(len(b.results(1)), 1) // it settles
}

// A trainer ends its batch while the last results are on their way to the
// ledger. A write that was cut then stood in the ledger and not in memory, and a
// reader saw one result more at one instance than at the next.
func TestEndDoesNotCutAWrite(t *testing.T) {
	is := is.New(t)
	b := newBench(t, func(_ context.Context, _ *catalog.Upstream, g Generation, emit func(Event) error) error {
		return events(0, 1, 5, emit)
	})
	store := &slow{
		Space: b.store,
		began: make(chan struct{}),
		goOn:  make(chan struct{}),
	}
	b.runner.Ledger.Space = store
	is.NoErr(b.submit("x"))
	<-store.began
	ended := make(chan error, 1)
	go func() { ended <- b.runner.End(context.Background(), "b") }()
	timer.Wait(timer.Real{}, 20*time.Millisecond, nil)
	close(store.goOn)
	is.NoErr(<-ended)
	rec, err := b.runner.Ledger.Load(context.Background(), "b")
	is.NoErr(err)
	page, err := b.runner.Read(context.Background(), "b", 0, 0)
	is.NoErr(err)
	is.Equal(len(page.Results), len(rec.Results))
	is.Equal(len(page.Results), 1)
	// Trainers repeat the end; it stands, and costs no further call.
	calls := b.store.Calls(space.Commit)
	is.NoErr(b.runner.End(context.Background(), "b"))
	is.Equal(b.store.Calls(space.Commit), calls)
}

// An instance is told to stop while its items run. Another one goes on with
// their texts; begun anew, a long item would make its step late.
func TestHandOverKeepsTexts(t *testing.T) {
	is := is.New(t)
	reached := make(chan struct{})
	var once sync.Once
	b := newBench(t, func(ctx context.Context, _ *catalog.Upstream, g Generation, emit func(Event) error) error {
		if g.After > 0 {
			return events(g.After, 8, 5, emit)
		}
		_ = events(0, 5, 5, emit)
		once.Do(func() { close(reached) })
		<-ctx.Done()
		return ctx.Err()
	})
	is.NoErr(b.submit("x"))
	<-reached
	to := ledger.Owner{
		Instance:    "j",
		Incarnation: "1",
	}
	is.NoErr(b.runner.HandOver(context.Background(), "b", to))
	is.Equal(b.runner.Has("b"), false)
	_, err := b.runner.Read(context.Background(), "b", 0, 0)
	is.True(errors.Is(err, ErrNotHere))
	b.runner.Ledger.Self = to
	claim, err := b.runner.Ledger.Find(context.Background(), "b")
	is.NoErr(err)
	is.Equal(claim.Owner, to)
	is.NoErr(b.runner.Adopt(context.Background(), claim))
	got := b.results(1)
	is.Equal(len(got), 1)
	is.Equal(got[0].Text, "e1\ne2\ne3\ne4\ne5\ne6\ne7\ne8")
}
