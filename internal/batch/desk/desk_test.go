package desk

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/batch/ledger"
	"github.com/egretbend/egretbend/internal/batch/runner"
	"github.com/egretbend/egretbend/internal/batch/submission"
	"github.com/egretbend/egretbend/internal/fleet/registry"
	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
	"github.com/egretbend/egretbend/internal/route/catalog"
	"github.com/egretbend/egretbend/internal/standin/space"
)

// silent is another instance whose answers never come.
type silent struct{}

var errSilent = errors.New("no answer")

func (silent) Read(context.Context, string, string, int, time.Duration) (runner.Page, error) {
	return runner.Page{}, errSilent
}
func (silent) Stored(context.Context, string, string, string, int) (runner.Page, []byte, bool, error) {
	return runner.Page{}, nil, false, errSilent
}
func (silent) Body(context.Context, string, string, string) ([]byte, bool, error) {
	return nil, false, errSilent
}
func (silent) End(context.Context, string, string) error                    { return errSilent }
func (silent) Hint(context.Context, string, News) error                     { return errSilent }
func (silent) Runs(context.Context, string, string) bool                    { return false }
func (silent) Adopt(context.Context, string, string) error                  { return errSilent }
func (silent) Submit(context.Context, string, *submission.Submission) error { return errSilent }

// newDesk returns the desk of instance "me", beside an instance "other" that does
// not answer, over a service with faults.
func newDesk(t *testing.T, fault func(space.Call) space.Fault) (*Desk, *space.Space) {
	clock := timer.Real{}
	store := &space.Space{
		Timer: clock,
		Fault: fault,
	}
	r := &registry.Registry{
		Space: store,
		Timer: clock,
	}
	r.SetSelf(registry.Member{Name: "me", Incarnation: "1"})
	l := &ledger.Ledger{
		Space: store,
		Self:  ledger.Owner{Instance: "me", Incarnation: "1"},
		Pause: func(time.Duration) {},
	}
	run := &runner.Runner{
		Ledger: l,
		Book:   &catalog.Book{Timer: clock},
		Holder: &catalog.Holder{},
		Timer:  clock,
	}
	run.Start()
	t.Cleanup(run.Stop)
	return &Desk{
		Runner:   run,
		Ledger:   l,
		Registry: r,
		Peers:    silent{},
		Timer:    clock,
		Leaving:  func() bool { return false },
		Config:   &catalog.Holder{},
	}, store
}

// A batch is handed on to the instance that should run it, which may store it
// and does not answer; then the key-value service is away. Whoever then told the
// trainer "not run" would see the batch run all the same.
func TestUnknownAtHomeIsNoRefusal(t *testing.T) {
	is := is.New(t)
	d, _ := newDesk(t, func(space.Call) space.Fault { return space.Down })
	err := d.afterHome(d.Accept(context.Background(), &submission.Submission{ID: "b"}, catalog.Route{}))
	is.True(err != nil)
	is.Equal(problem.From(err).Kind.Outcome, problem.Unknown)
}

// A caller asks for a batch that nobody knows, and for one while the ledger can't
// be read. Only the first may be told that there is none.
func TestNoSuchBatchOnlyIfSure(t *testing.T) {
	is := is.New(t)
	d, _ := newDesk(t, nil)
	_, err := d.Read(context.Background(), "nothing", 0, 0)
	is.True(problem.Is(err, problem.NotFound))
	away, _ := newDesk(t, func(space.Call) space.Fault { return space.Down })
	_, err = away.Read(context.Background(), "nothing", 0, 0)
	is.True(problem.Is(err, problem.PlatformDown))
}

// The owner of a batch does not answer. Its results are read from the ledger, and
// the batch can be ended there.
func TestLedgerStandsInForASilentOwner(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	d, store := newDesk(t, nil)
	owner := &ledger.Ledger{
		Space: store,
		Self:  ledger.Owner{Instance: "other", Incarnation: "1"},
		Pause: func(time.Duration) {},
	}
	claim, err := owner.Accept(ctx, &submission.Submission{
		ID:    "b",
		Items: []submission.Item{{ID: "x", Path: "/x", Body: []byte("bx")}, {ID: "y", Path: "/y", Body: []byte("by")}},
	})
	is.NoErr(err)
	_, err = owner.Append(ctx, claim, []submission.Result{{Item: "x", State: submission.Completed}}, nil)
	is.NoErr(err)
	page, err := d.Read(ctx, "b", 0, 0)
	is.NoErr(err)
	is.Equal(page.Total, 2)
	is.Equal(len(page.Results), 1)
	body, err := d.Body(ctx, "b", "y")
	is.NoErr(err)
	is.Equal(string(body), "by")
	_, err = d.Body(ctx, "b", "x") // listed already
	is.True(problem.Is(err, problem.NotFound))
	is.NoErr(d.End(ctx, "b"))
	is.NoErr(d.End(ctx, "b")) // may be repeated
	_, err = owner.Append(ctx, claim, []submission.Result{{Item: "y"}}, nil)
	is.True(errors.Is(err, ledger.ErrFenced))
}

// An instance dies. Exactly one of the others looks after its batches: if all
// did, each death would cost a listing at every instance.
func TestOneHeir(t *testing.T) {
	is := is.New(t)
	var members []registry.Member
	for i := range 20 {
		members = append(members, registry.Member{Name: fmt.Sprint("i", i), Cores: 0.3})
	}
	heir := First(members, "dead")
	is.True(heir.Name != "")
	for i, m := range members {
		if m.Name == heir.Name {
			members[i].Leaving = true
		}
	}
	is.True(First(members, "dead").Name != heir.Name) // one that leaves inherits nothing
}

// lively is another instance that still runs its batches.
type lively struct {
	silent
	asked chan struct{}
}

func (l lively) Runs(context.Context, string, string) bool {
	select {
	case l.asked <- struct{}{}:
	default:
	}
	return true
}

// The key-value service takes the lease of a living instance away. Its batches
// were taken over at once, and what it had made of them was made again: its
// trainer waited four seconds longer. The heir asks the owner first, and waits
// for its new lease; an owner that never shows itself is replaced all the same.
func TestLivingOwnerKeepsItsBatch(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	d, store := newDesk(t, nil)
	peers := lively{
		asked: make(chan struct{}, 1),
	}
	d.Peers = peers
	owner := &ledger.Ledger{
		Space: store,
		Self:  ledger.Owner{Instance: "other", Incarnation: "1", Address: "other"},
		Pause: func(time.Duration) {},
	}
	claim, err := owner.Accept(ctx, &submission.Submission{ID: "b", Items: []submission.Item{{ID: "x", Path: "/x"}}})
	is.NoErr(err)
	began := time.Now()
	is.True(!d.lives(claim)) // it never came back
	is.True(time.Since(began) >= ownerPause)

	var tb tomb.Tomb
	tb.Go(func() error { return d.Registry.Run(&tb) })
	defer func() { tb.Kill(nil); _ = tb.Wait() }()
	go func() {
		<-peers.asked
		value, err := json.Marshal(registry.Member{Name: "other", Incarnation: "1"})
		if err == nil {
			_, err = store.Commit(ctx, keyvalue.Transaction{
				Writes: []keyvalue.Write{
					{Key: registry.Key("other"), Value: value},
				},
			})
		}
		if err != nil {
			panic(err)
		}
	}()
	d.Registry.AwaitView(&tb, time.Second)
	is.True(d.lives(claim))
	d.Peers = silent{}
	is.True(!d.lives(claim)) // a dead one is not waited for
}

// until reports whether something holds within some seconds.
func until(holds func() bool) bool {
	return timer.Until(timer.Real{}, time.Millisecond, 5*time.Second, nil, holds)
}

// An instance is removed for good while the key-value service is away. When the
// service is back, its batches waited for another three seconds, as long as the
// view keeps instances whose keys lapsed in the outage. Their heir need not wait
// for that: it asks the owner.
func TestSuspectsBatchesHaveAnHeir(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	var down atomic.Bool
	d, store := newDesk(t, func(space.Call) space.Fault {
		if down.Load() {
			return space.Down
		}
		return space.None
	})
	value, err := json.Marshal(registry.Member{Name: "other", Incarnation: "1"})
	is.NoErr(err)
	lease, err := store.Grant(ctx, time.Hour)
	is.NoErr(err)
	_, err = store.Commit(ctx, keyvalue.Transaction{
		Writes: []keyvalue.Write{
			{Key: registry.Key("other"), Value: value, Lease: lease},
		},
	})
	is.NoErr(err)
	var tb tomb.Tomb
	tb.Go(func() error { return d.Registry.Run(&tb) })
	defer func() { tb.Kill(nil); _ = tb.Wait() }()
	claim := ledger.Claim{Batch: "b", Owner: ledger.Owner{Instance: "other", Incarnation: "1"}}
	is.True(until(func() bool { return d.Registry.Present("other") }))
	is.True(!d.orphan(claim))
	cut, err := store.Grant(ctx, time.Hour)
	is.NoErr(err)
	_, err = store.Commit(ctx, keyvalue.Transaction{
		Writes: []keyvalue.Write{
			{Key: "elsewhere", Lease: cut},
		},
	})
	is.NoErr(err)
	down.Store(true)
	store.Lapse(cut)                             // ends the watches that wait
	timer.Wait(timer.Real{}, 2*time.Second, nil) // longer than an entry may be late
	store.Lapse(lease)
	down.Store(false)
	is.True(until(func() bool { return d.orphan(claim) }))
	is.True(d.Registry.Present("other")) // the view still keeps it
}

// All instances start again after a loss of power, and one finds the batches of
// its earlier life before it knows the configuration, or while the service fails
// it once more. Its next look came four seconds later, and the trainer stood
// still for as long.
func TestFailedTakeOverIsTriedAgainSoon(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	var failing atomic.Bool
	d, _ := newDesk(t, func(c space.Call) space.Fault {
		if c == space.Range && failing.CompareAndSwap(true, false) {
			return space.Down
		}
		return space.None
	})
	claim, err := d.Ledger.Accept(ctx, &submission.Submission{
		ID:          "b",
		SubmittedMS: time.Now().UnixMilli(),
		Items:       []submission.Item{{ID: "x", Path: "/x"}},
	})
	is.NoErr(err)
	is.Equal(claim.Owner, d.Ledger.Self)
	var tb tomb.Tomb
	gone := make(chan struct{}, 1)
	tb.Go(func() error { return d.Registry.Run(&tb) })
	tb.Go(func() error { return d.Run(&tb, gone) })
	defer func() { tb.Kill(nil); _ = tb.Wait() }()
	d.Registry.AwaitView(&tb, time.Second)
	gone <- struct{}{}
	timer.Wait(timer.Real{}, 2*gatherTime, nil)
	is.True(!d.Runner.Has("b")) // without a configuration
	failing.Store(true)         // the listing, or the load of the batch
	began := time.Now()
	cfg := catalog.Configuration{Version: 1}.WithIndex()
	d.Config.Take(cfg)
	d.Runner.Holder.Take(cfg)
	is.True(until(func() bool { return d.Runner.Has("b") }))
	is.True(time.Since(began) < sweepEvery/2)
}

// The instance that runs a trainer's batches has just ended. The batch reached one
// of the smallest instances, which ran it itself and made its step late. It is
// brought to the next able one first.
func TestSecondHome(t *testing.T) {
	is := is.New(t)
	members := []registry.Member{
		{Name: "small", Cores: 0.1},
		{Name: "a", Cores: 0.8},
		{Name: "b", Cores: 0.8},
		{Name: "c", Cores: 0.8},
	}
	homes := Homes(members, "m")
	is.Equal(len(homes), 2)
	is.Equal(homes[0], First(members, "m"))
	is.True(homes[1].Name != homes[0].Name && homes[1].Cores == 0.8)
	is.Equal(len(Homes(members[:1], "m")), 1)
	is.Equal(len(Homes(nil, "m")), 0)
}
