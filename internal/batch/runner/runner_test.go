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
	"github.com/egretbend/egretbend/internal/standin/memorystore"
)

// scriptedGenerator is a Generator that does what a test specifies.
type scriptedGenerator struct {
	mu       sync.Mutex
	calls    []Attempt
	generate func(ctx context.Context, u *catalog.Upstream, attempt Attempt, emit func(Event) error) error
}

// Generate implements Generator.
func (s *scriptedGenerator) Generate(ctx context.Context, u *catalog.Upstream, attempt Attempt, emit func(Event) error) error {
	s.mu.Lock()
	s.calls = append(s.calls, attempt)
	s.mu.Unlock()
	return s.generate(ctx, u, attempt, emit)
}

// emitEvents emits the events after the given number, up to last.
func emitEvents(after, last int, version uint64, emit func(Event) error) error {
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

// fixedScorer is a Scorer whose error a test sets.
type fixedScorer struct{ err error }

// Score implements Scorer.
func (s fixedScorer) Score(context.Context, *submission.Reward, string, timer.Instant) (string, error) {
	return "proof", s.err
}

// testBench is a runner with two engines, on a manual clock that advances by
// itself.
type testBench struct {
	clock     *timer.Manual
	store     *memorystore.Store
	runner    *Runner
	generator *scriptedGenerator
	route     catalog.Route
}

func newTestBench(t *testing.T, do func(ctx context.Context, u *catalog.Upstream, attempt Attempt, emit func(Event) error) error) *testBench {
	b := &testBench{
		clock: &timer.Manual{},
		generator: &scriptedGenerator{
			generate: do,
		},
		route: catalog.Route{
			Name:        "r",
			Host:        "h",
			Prefix:      "/",
			Kind:        catalog.Rollout,
			Split:       []catalog.WeightedService{{Service: "s", Weight: 1}},
			Attempts:    2,
			GiveUpAfter: time.Minute,
		},
	}
	b.store = &memorystore.Store{
		Timer: b.clock,
	}
	upstreams := &catalog.Upstreams{
		Timer: b.clock,
	}
	var listed []catalog.Entry
	for _, id := range []string{"one", "two"} {
		listed = append(listed, catalog.Entry{
			ID:       id,
			Service:  "s",
			Address:  id,
			Slots:    2,
			Versions: map[string]uint64{"m": 5},
		})
	}
	upstreams.Update(listed, nil)
	holder := &catalog.Holder{}
	holder.Update(catalog.Configuration{
		Version: 1,
		Routes:  []catalog.Route{b.route},
	}.WithIndex())
	b.runner = &Runner{
		Ledger: &ledger.Ledger{
			Store: b.store,
			Self: ledger.Owner{
				Instance:    "i",
				Incarnation: "1",
			},
			Pause: func(time.Duration) {},
		},
		Upstreams:     upstreams,
		Configuration: holder,
		Generator:     b.generator,
		Scorer:        fixedScorer{},
		Timer:         b.clock,
	}
	b.runner.Start()
	stop := b.clock.Run(20*time.Millisecond, time.Millisecond)
	t.Cleanup(func() {
		b.runner.Stop()
		stop()
	})
	return b
}

func (b *testBench) submit(items ...string) error {
	return b.runner.Submit(context.Background(), b.newSubmission(items...), b.route)
}

// newSubmission returns a batch of some items.
func (b *testBench) newSubmission(items ...string) *submission.Submission {
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

// waitForResults reads until n results are listed.
func (b *testBench) waitForResults(n int) []submission.Result {
	var page Page
	if !eventually(func() bool {
		var err error
		page, err = b.runner.Read(context.Background(), "b", 0, 0)
		return err == nil && len(page.Results) >= n
	}) {
		return nil
	}
	return page.Results
}

// eventually reports whether a condition holds within some seconds.
func eventually(holds func() bool) bool {
	return timer.Poll(timer.Real{}, time.Millisecond, 5*time.Second, nil, holds)
}

// An engine breaks off a stream in the middle. The text continues at another
// engine after the last complete event: the trainer must find each event once,
// and the versions that generated them.
func TestTextContinuesAtAnotherEngine(t *testing.T) {
	is := is.New(t)
	b := newTestBench(t, func(_ context.Context, _ *catalog.Upstream, attempt Attempt, emit func(Event) error) error {
		if attempt.After == 0 {
			_ = emitEvents(0, 3, 4, emit)
			return engine.ErrIncompleteResponse
		}
		return emitEvents(attempt.After, 6, 5, emit)
	})
	is.NoErr(b.submit("x"))
	got := b.waitForResults(1)
	is.Equal(len(got), 1)
	is.Equal(got[0].Text, "e1\ne2\ne3\ne4\ne5\ne6")
	is.Equal(got[0].Versions, []uint64{4, 5})
	is.Equal(got[0].Score, "proof")
	is.Equal(got[0].State, submission.Completed)
}

// An engine stops responding while it runs an item. The stream must move to the
// other one long before the step is due.
func TestStreamLeavesUnresponsiveEngine(t *testing.T) {
	is := is.New(t)
	b := newTestBench(t, func(ctx context.Context, u *catalog.Upstream, attempt Attempt, emit func(Event) error) error {
		if attempt.After == 0 {
			_ = emitEvents(0, 2, 5, emit)
			<-ctx.Done()
			return ctx.Err()
		}
		return emitEvents(attempt.After, 4, 5, emit)
	})
	is.NoErr(b.submit("x"))
	got := b.waitForResults(1)
	is.Equal(len(got), 1)
	is.Equal(got[0].Text, "e1\ne2\ne3\ne4")
	b.generator.mu.Lock()
	defer b.generator.mu.Unlock()
	is.Equal(b.generator.calls[1].After, 2) // resumed, not restarted
}

// An engine's weights turn out to be older than the trainer allows. Its text must
// be dropped: a sample of too old a version would train the model on stale
// answers.
func TestTextOfStaleWeightsIsDropped(t *testing.T) {
	is := is.New(t)
	first := true
	var mu sync.Mutex
	b := newTestBench(t, func(_ context.Context, _ *catalog.Upstream, attempt Attempt, emit func(Event) error) error {
		mu.Lock()
		version := uint64(5)
		if first {
			version = 3
		}
		first = false
		mu.Unlock()
		return emitEvents(attempt.After, 3, version, emit)
	})
	is.NoErr(b.submit("x"))
	got := b.waitForResults(1)
	is.Equal(len(got), 1)
	is.Equal(got[0].Versions, []uint64{5})
}

// An item fails on every run. After the attempts of its route it must be listed
// as dead and not sent again; its group is whole all the same.
func TestFailingItemEndsDead(t *testing.T) {
	is := is.New(t)
	b := newTestBench(t, func(_ context.Context, _ *catalog.Upstream, attempt Attempt, emit func(Event) error) error {
		if attempt.Item.ID == "bad" {
			return engine.ErrAttemptFailed
		}
		return emitEvents(0, 1, 5, emit)
	})
	is.NoErr(b.submit("bad", "good"))
	got := b.waitForResults(2)
	is.Equal(len(got), 2)
	states := map[string]submission.State{}
	for _, r := range got {
		states[r.Item] = r.State
	}
	is.Equal(states, map[string]submission.State{"bad": submission.Dead, "good": submission.Completed})
	b.generator.mu.Lock()
	defer b.generator.mu.Unlock()
	is.Equal(len(b.generator.calls), 3) // two attempts at bad and one at good
}

// slowStore is a key-value service whose writes of results take long.
type slowStore struct {
	*memorystore.Store
	started, proceed chan struct{}
}

// Commit implements keyvalue.TransactionalStore.
func (s *slowStore) Commit(ctx context.Context, tx keyvalue.Transaction) (uint64, error) {
	if len(tx.Writes) > 0 && strings.Contains(tx.Writes[0].Key, "/result/") {
		s.started <- struct{}{}
		<-s.proceed
		if err := ctx.Err(); err != nil {
			_, _ = s.Store.Commit(context.Background(), tx)
			return 0, errors.Join(keyvalue.ErrOutcomeUnknown, err)
		}
	}
	return s.Store.Commit(ctx, tx)
}

// lossyStore is a key-value service that carries out all writes but loses the
// answers to the first writes of results.
type lossyStore struct {
	*memorystore.Store
	mu            sync.Mutex
	repliesToLose int
}

// Commit implements keyvalue.TransactionalStore.
func (s *lossyStore) Commit(ctx context.Context, tx keyvalue.Transaction) (uint64, error) {
	rev, err := s.Store.Commit(ctx, tx)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(tx.Writes) > 0 && strings.Contains(tx.Writes[0].Key, "/result/") && s.repliesToLose > 0 {
		s.repliesToLose--
		return 0, keyvalue.ErrOutcomeUnknown
	}
	return rev, err
}

// The answers to the writes of results are lost, though the ledger has the
// results. Guards against a reader that has seen them there through another
// instance, asks the owner next, and finds nothing at a position that it has
// already read.
func TestReadIsRefusedWhileWriteIsUnconfirmed(t *testing.T) {
	is := is.New(t)
	b := newTestBench(t, func(_ context.Context, _ *catalog.Upstream, attempt Attempt, emit func(Event) error) error {
		return emitEvents(0, 1, 5, emit)
	})
	b.runner.Ledger.Store = &lossyStore{
		Store:         b.store,
		repliesToLose: 20,
	}
	is.NoErr(b.submit("x"))
	refused := false
	eventually(func() bool {
		rec, err := b.runner.Ledger.Load(context.Background(), "b")
		is.NoErr(err)
		page, err := b.runner.Read(context.Background(), "b", 0, 0)
		if len(rec.Results) > 0 && errors.Is(err, ErrNotRunHere) {
			refused = true
		}
		return err == nil && len(page.Results) > 0
	})
	is.True(refused)
	is.Equal(len(b.waitForResults(1)), 1) // the write is confirmed in the end
}

// A trainer ends its batch while the last results are being written to the
// ledger. If that cancelled the write, the results could be in the ledger and not
// in memory, and a reader would see one result more at one instance than at the
// next.
func TestEndDoesNotCancelWrite(t *testing.T) {
	is := is.New(t)
	b := newTestBench(t, func(_ context.Context, _ *catalog.Upstream, attempt Attempt, emit func(Event) error) error {
		return emitEvents(0, 1, 5, emit)
	})
	store := &slowStore{
		Store:   b.store,
		started: make(chan struct{}),
		proceed: make(chan struct{}),
	}
	b.runner.Ledger.Store = store
	is.NoErr(b.submit("x"))
	<-store.started
	ended := make(chan error, 1)
	go func() { ended <- b.runner.End(context.Background(), "b") }()
	timer.Wait(timer.Real{}, 20*time.Millisecond, nil)
	close(store.proceed)
	is.NoErr(<-ended)
	rec, err := b.runner.Ledger.Load(context.Background(), "b")
	is.NoErr(err)
	page, err := b.runner.Read(context.Background(), "b", 0, 0)
	is.NoErr(err)
	is.Equal(len(page.Results), len(rec.Results))
	is.Equal(len(page.Results), 1)
	// Trainers repeat the request to end a batch; the batch stays ended, and the
	// repetition makes no further call.
	calls := b.store.CallCount(memorystore.Commit)
	is.NoErr(b.runner.End(context.Background(), "b"))
	is.Equal(b.store.CallCount(memorystore.Commit), calls)
}

// An instance is told to stop while its items run. Another one must continue
// their texts; started again, a long item would make its step late.
func TestHandOverKeepsTexts(t *testing.T) {
	is := is.New(t)
	reached := make(chan struct{})
	var once sync.Once
	b := newTestBench(t, func(ctx context.Context, _ *catalog.Upstream, attempt Attempt, emit func(Event) error) error {
		if attempt.After > 0 {
			return emitEvents(attempt.After, 8, 5, emit)
		}
		_ = emitEvents(0, 5, 5, emit)
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
	is.True(errors.Is(err, ErrNotRunHere))
	b.runner.Ledger.Self = to
	claim, err := b.runner.Ledger.Find(context.Background(), "b")
	is.NoErr(err)
	is.Equal(claim.Owner, to)
	is.NoErr(b.runner.Adopt(context.Background(), claim))
	got := b.waitForResults(1)
	is.Equal(len(got), 1)
	is.Equal(got[0].Text, "e1\ne2\ne3\ne4\ne5\ne6\ne7\ne8")
}
