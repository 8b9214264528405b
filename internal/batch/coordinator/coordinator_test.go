package coordinator

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
	"github.com/egretbend/egretbend/internal/standin/memorystore"
)

// silentPeers are other instances that never answer.
type silentPeers struct{}

var errSilent = errors.New("no answer")

func (silentPeers) Read(context.Context, string, string, int, time.Duration) (runner.Page, error) {
	return runner.Page{}, errSilent
}
func (silentPeers) Stored(context.Context, string, string, string, int) (runner.Page, []byte, bool, error) {
	return runner.Page{}, nil, false, errSilent
}
func (silentPeers) Body(context.Context, string, string, string) ([]byte, bool, error) {
	return nil, false, errSilent
}
func (silentPeers) End(context.Context, string, string) error                    { return errSilent }
func (silentPeers) Hint(context.Context, string, OwnerHint) error                { return errSilent }
func (silentPeers) Runs(context.Context, string, string) bool                    { return false }
func (silentPeers) Adopt(context.Context, string, string) error                  { return errSilent }
func (silentPeers) Submit(context.Context, string, *submission.Submission) error { return errSilent }

// newCoordinator returns the coordinator of instance "me" with peers that never answer, over a
// key-value store with injected faults.
func newCoordinator(t *testing.T, fault func(memorystore.Operation) memorystore.Fault) (*Coordinator, *memorystore.Store) {
	clock := timer.Real{}
	store := &memorystore.Store{
		Timer: clock,
		Fault: fault,
	}
	r := &registry.Registry{
		Store: store,
		Timer: clock,
	}
	r.SetSelf(registry.Member{Name: "me", Incarnation: "1"})
	l := &ledger.Ledger{
		Store: store,
		Self:  ledger.Owner{Instance: "me", Incarnation: "1"},
		Pause: func(time.Duration) {},
	}
	run := &runner.Runner{
		Ledger:        l,
		Upstreams:     &catalog.Upstreams{Timer: clock},
		Configuration: &catalog.Holder{},
		Timer:         clock,
	}
	run.Start()
	t.Cleanup(run.Stop)
	return &Coordinator{
		Runner:   run,
		Ledger:   l,
		Registry: r,
		Peers:    silentPeers{},
		Timer:    clock,
		Leaving:  func() bool { return false },
		Config:   &catalog.Holder{},
	}, store
}

// Guards against the outcome "not run" for a batch that may run: its home may have stored
// it and does not answer, and then the key-value service is unavailable.
func TestUnknownOutcomeAtHomeIsNotReportedAsNotRun(t *testing.T) {
	is := is.New(t)
	c, _ := newCoordinator(t, func(memorystore.Operation) memorystore.Fault { return memorystore.Down })
	err := c.outcomeAfterHome(c.Accept(context.Background(), &submission.Submission{ID: "b"}, catalog.Route{}))
	is.True(err != nil)
	is.Equal(problem.From(err).Kind.Outcome, problem.Unknown)
}

// Guards against "not found" for a batch while the ledger can't be read. Only a ledger
// that was read shows that there is no such batch.
func TestNotFoundOnlyIfLedgerWasRead(t *testing.T) {
	is := is.New(t)
	c, _ := newCoordinator(t, nil)
	_, err := c.Read(context.Background(), "nothing", 0, 0)
	is.True(problem.Is(err, problem.NotFound))
	unavailable, _ := newCoordinator(t, func(memorystore.Operation) memorystore.Fault { return memorystore.Down })
	_, err = unavailable.Read(context.Background(), "nothing", 0, 0)
	is.True(problem.Is(err, problem.PlatformDown))
}

// The owner of a batch does not answer: the results and bodies are read from the ledger,
// and the batch can be ended there.
func TestBatchOfSilentOwnerIsReadFromLedger(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c, store := newCoordinator(t, nil)
	owner := &ledger.Ledger{
		Store: store,
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
	page, err := c.Read(ctx, "b", 0, 0)
	is.NoErr(err)
	is.Equal(page.Total, 2)
	is.Equal(len(page.Results), 1)
	body, err := c.Body(ctx, "b", "y")
	is.NoErr(err)
	is.Equal(string(body), "by")
	_, err = c.Body(ctx, "b", "x") // its result is listed
	is.True(problem.Is(err, problem.NotFound))
	is.NoErr(c.End(ctx, "b"))
	is.NoErr(c.End(ctx, "b")) // idempotent
	_, err = owner.Append(ctx, claim, []submission.Result{{Item: "y"}}, nil)
	is.True(errors.Is(err, ledger.ErrFenced))
}

// Guards against several successors of a dead instance: each would list the ledger after
// every death.
func TestDeadInstanceHasOneSuccessor(t *testing.T) {
	is := is.New(t)
	var members []registry.Member
	for i := range 20 {
		members = append(members, registry.Member{Name: fmt.Sprint("i", i), Cores: 0.3})
	}
	successor := FirstRanked(members, "dead")
	is.True(successor.Name != "")
	for i, m := range members {
		if m.Name == successor.Name {
			members[i].Leaving = true
		}
	}
	is.True(FirstRanked(members, "dead").Name != successor.Name) // a leaving instance is no successor
}

// livePeers are other instances that still run their batches.
type livePeers struct {
	silentPeers
	asked chan struct{}
}

func (l livePeers) Runs(context.Context, string, string) bool {
	select {
	case l.asked <- struct{}{}:
	default:
	}
	return true
}

// Guards against taking over from a live owner whose lease the key-value service took
// away: the work done would be repeated, and the trainer waits four seconds longer. The
// successor asks the owner first and waits for its new lease. An owner that never appears
// in the registry again is replaced all the same.
func TestLiveOwnerKeepsItsBatch(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c, store := newCoordinator(t, nil)
	peers := livePeers{
		asked: make(chan struct{}, 1),
	}
	c.Peers = peers
	owner := &ledger.Ledger{
		Store: store,
		Self:  ledger.Owner{Instance: "other", Incarnation: "1", Address: "other"},
		Pause: func(time.Duration) {},
	}
	claim, err := owner.Accept(ctx, &submission.Submission{ID: "b", Items: []submission.Item{{ID: "x", Path: "/x"}}})
	is.NoErr(err)
	began := time.Now()
	is.True(!c.ownerAlive(claim)) // it never appears in the registry
	is.True(time.Since(began) >= ownerProbePause)

	var tb tomb.Tomb
	tb.Go(func() error { return c.Registry.Run(&tb) })
	defer func() { tb.Kill(nil); _ = tb.Wait() }()
	go func() {
		<-peers.asked
		value, err := json.Marshal(registry.Member{Name: "other", Incarnation: "1"})
		if err == nil {
			_, err = store.Commit(ctx, keyvalue.Transaction{
				Writes: []keyvalue.Write{
					{Key: registry.InstanceKey("other"), Value: value},
				},
			})
		}
		if err != nil {
			panic(err)
		}
	}()
	c.Registry.AwaitView(&tb, time.Second)
	is.True(c.ownerAlive(claim))
	c.Peers = silentPeers{}
	is.True(!c.ownerAlive(claim)) // a dead owner is not waited for
}

// eventually reports whether a condition holds within 5 s.
func eventually(holds func() bool) bool {
	return timer.Poll(timer.Real{}, time.Millisecond, 5*time.Second, nil, holds)
}

// Guards against batches that wait three seconds longer than needed when their owner is
// removed while the key-value service is unavailable: after the outage the view still
// keeps instances whose keys expired during it. The successor of a suspected owner need
// not wait for the view, since it asks the owner.
func TestBatchesOfSuspectedInstanceAreTakenOver(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	var down atomic.Bool
	c, store := newCoordinator(t, func(memorystore.Operation) memorystore.Fault {
		if down.Load() {
			return memorystore.Down
		}
		return memorystore.None
	})
	value, err := json.Marshal(registry.Member{Name: "other", Incarnation: "1"})
	is.NoErr(err)
	lease, err := store.Grant(ctx, time.Hour)
	is.NoErr(err)
	_, err = store.Commit(ctx, keyvalue.Transaction{
		Writes: []keyvalue.Write{
			{Key: registry.InstanceKey("other"), Value: value, Lease: lease},
		},
	})
	is.NoErr(err)
	var tb tomb.Tomb
	tb.Go(func() error { return c.Registry.Run(&tb) })
	defer func() { tb.Kill(nil); _ = tb.Wait() }()
	claim := ledger.Claim{Batch: "b", Owner: ledger.Owner{Instance: "other", Incarnation: "1"}}
	is.True(eventually(func() bool { return c.Registry.Present("other") }))
	is.True(!c.shouldTakeOver(claim))
	cut, err := store.Grant(ctx, time.Hour)
	is.NoErr(err)
	_, err = store.Commit(ctx, keyvalue.Transaction{
		Writes: []keyvalue.Write{
			{Key: "elsewhere", Lease: cut},
		},
	})
	is.NoErr(err)
	down.Store(true)
	store.ExpireLease(cut)                       // ends the pending watches
	timer.Wait(timer.Real{}, 2*time.Second, nil) // longer than an entry may be overdue
	store.ExpireLease(lease)
	down.Store(false)
	is.True(eventually(func() bool { return c.shouldTakeOver(claim) }))
	is.True(c.Registry.Present("other")) // still in the view
}

// Guards against a take-over that fails and is retried only with the next regular sweep,
// four seconds later, while the trainer is idle. After a power loss of all instances, one
// finds the batches of its previous incarnation before it has a configuration, or while
// the key-value service fails once more.
func TestFailedTakeOverIsRetriedSoon(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	var failing atomic.Bool
	c, _ := newCoordinator(t, func(operation memorystore.Operation) memorystore.Fault {
		if operation == memorystore.Range && failing.CompareAndSwap(true, false) {
			return memorystore.Down
		}
		return memorystore.None
	})
	claim, err := c.Ledger.Accept(ctx, &submission.Submission{
		ID:          "b",
		SubmittedMS: time.Now().UnixMilli(),
		Items:       []submission.Item{{ID: "x", Path: "/x"}},
	})
	is.NoErr(err)
	is.Equal(claim.Owner, c.Ledger.Self)
	var tb tomb.Tomb
	gone := make(chan struct{}, 1)
	tb.Go(func() error { return c.Registry.Run(&tb) })
	tb.Go(func() error { return c.Run(&tb, gone) })
	defer func() { tb.Kill(nil); _ = tb.Wait() }()
	c.Registry.AwaitView(&tb, time.Second)
	gone <- struct{}{}
	timer.Wait(timer.Real{}, 2*goneDebounce, nil)
	is.True(!c.Runner.Has("b")) // there is no configuration yet
	failing.Store(true)         // fails the listing or the load of the batch
	began := time.Now()
	cfg := catalog.Configuration{Version: 1}.WithIndex()
	c.Config.Update(cfg)
	c.Runner.Configuration.Update(cfg)
	is.True(eventually(func() bool { return c.Runner.Has("b") }))
	is.True(time.Since(began) < sweepInterval/2)
}

// Guards against a step that is late because one of the smallest instances ran its batch:
// the home had just ended, and the instance that the batch reached accepted it itself. The
// batch is forwarded to the next eligible instance first.
func TestHomesIncludeTheNextEligibleInstance(t *testing.T) {
	is := is.New(t)
	members := []registry.Member{
		{Name: "small", Cores: 0.1},
		{Name: "a", Cores: 0.8},
		{Name: "b", Cores: 0.8},
		{Name: "c", Cores: 0.8},
	}
	homes := Homes(members, "", "m")
	is.Equal(len(homes), 2)
	is.Equal(homes[0], FirstRanked(members, "m"))
	is.True(homes[1].Name != homes[0].Name && homes[1].Cores == 0.8)
	is.Equal(len(Homes(members[:1], "", "m")), 1)
	is.Equal(len(Homes(nil, "", "m")), 0)
}

// Guards against homes that every read of a batch reaches across regions.
func TestHomesAreInTheRegionOfTheTrainer(t *testing.T) {
	is := is.New(t)
	var members []registry.Member
	for _, name := range []string{"a1", "a2", "a3", "b1", "b2", "c1"} {
		members = append(members, registry.Member{
			Name:   name,
			Region: name[:1],
			Cores:  0.8,
		})
	}
	for _, key := range []string{"m0", "m1", "m2", "m3"} {
		homes := Homes(members, "b", key)
		is.Equal(homes[0].Region, "b")
		is.Equal(homes[1].Region, "b")
		homes = Homes(members, "c", key)
		is.Equal(homes[0].Name, "c1")
		is.Equal(homes[1], Homes(members[:5], "", key)[0])
	}
}

// slowStore delays listings until release is closed, and counts them.
type slowStore struct {
	*memorystore.Store
	listings atomic.Int32
	release  chan struct{}
}

// Range implements keyvalue.Store.
func (s *slowStore) Range(ctx context.Context, prefix string, c keyvalue.Consistency) (keyvalue.Listing, error) {
	s.listings.Add(1)
	select {
	case <-s.release:
		return s.Store.Range(ctx, prefix, c)
	case <-ctx.Done():
		return keyvalue.Listing{}, ctx.Err()
	}
}

// Guards against a batch whose listing takes longer than callers wait, and which is never
// read because each call begins anew.
func TestListingOutlivesItsCaller(t *testing.T) {
	is := is.New(t)
	c, store := newCoordinator(t, nil)
	owner := &ledger.Ledger{
		Store: store,
		Self:  ledger.Owner{Instance: "other", Incarnation: "1"},
		Pause: func(time.Duration) {},
	}
	_, err := owner.Accept(t.Context(), &submission.Submission{
		ID:    "b",
		Items: []submission.Item{{ID: "x", Path: "/x"}},
	})
	is.NoErr(err)
	is.NoErr(c.End(t.Context(), "b"))
	slow := &slowStore{
		Store:   store,
		release: make(chan struct{}),
	}
	c.Ledger.Store = slow
	for range 3 {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		_, err = c.Read(ctx, "b", 0, 0)
		cancel()
		is.True(problem.Is(err, problem.PlatformDown))
	}
	close(slow.release)
	page, err := c.Read(t.Context(), "b", 0, 0)
	is.NoErr(err)
	is.Equal(page.Total, 1)
	is.Equal(slow.listings.Load(), int32(1))
}
