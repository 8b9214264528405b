package confirmation

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
	"github.com/egretbend/egretbend/internal/standin/memorystore"
)

// storeSource is a Source on a memorystore.Store. It does not wait for changes.
type storeSource struct {
	*memorystore.Store
}

// ChangesSince implements Source.
func (s storeSource) ChangesSince(ctx context.Context, prefix string, after uint64) ([]keyvalue.Change, uint64, error) {
	return s.Watch(ctx, prefix, after, 0)
}

// fixture is a Confirmer with a key-value service of its own.
type fixture struct {
	Confirmer
	clock        *timer.Manual
	store        *memorystore.Store
	heldRevision uint64
	fault        memorystore.Fault
}

const key = "configuration"

func newFixture(t *testing.T) *fixture {
	f := &fixture{
		clock: &timer.Manual{},
	}
	f.clock.Advance(time.Hour)
	t.Cleanup(f.clock.Run(0, time.Millisecond))
	f.store = &memorystore.Store{
		Timer: f.clock,
		Fault: func(memorystore.Operation) memorystore.Fault { return f.fault },
	}
	f.Confirmer = Confirmer{
		Record:       &Record{},
		Source:       storeSource{f.store},
		Key:          key,
		HeldRevision: func() uint64 { return f.heldRevision },
		Apply:        func(changes []keyvalue.Change) { f.heldRevision = changes[len(changes)-1].Revision },
		Needed:       func() bool { return true },
		IsRelay:      func() bool { return true },
		Timer:        f.clock,
	}
	return f
}

// putConfiguration writes a configuration and returns its revision.
func (f *fixture) putConfiguration(is *is.I) uint64 {
	rev, err := f.store.Commit(context.Background(), keyvalue.Transaction{
		Writes: []keyvalue.Write{{Key: key, Value: []byte("c")}},
	})
	is.NoErr(err)
	return rev
}

// A confirmation that finds a newer configuration applies it and confirms that one.
func TestConfirmAppliesNewerConfiguration(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.heldRevision = f.putConfiguration(is)
	is.NoErr(f.Confirm(context.Background()))
	is.True(f.Record.Within(f.clock.Now(), time.Millisecond))
	newer := f.putConfiguration(is)
	f.clock.Advance(time.Second)
	is.NoErr(f.Confirm(context.Background()))
	is.Equal(f.heldRevision, newer)
	is.True(f.Record.Within(f.clock.Now(), time.Millisecond))
}

// Guards against a newer configuration that cannot be decoded: the keys of the previous
// one, which stays in force, must not count as confirmed.
func TestUnappliedConfigurationIsNotConfirmed(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.heldRevision = f.putConfiguration(is)
	f.Apply = func([]keyvalue.Change) {}
	f.putConfiguration(is)
	is.True(f.Confirm(context.Background()) != nil)
	_, ok := f.Record.Age(f.clock.Now())
	is.True(!ok)
}

// Guards against a relayed confirmation of a newer configuration that marks an older
// one as current.
func TestAcceptIgnoresConfirmationOfNewerRevision(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.heldRevision = 4
	f.AcceptRemote(f.clock.Now(), 5)
	is.True(!f.Record.Within(f.clock.Now(), time.Second))
	f.AcceptRemote(f.clock.Now(), 4)
	is.True(f.Record.Within(f.clock.Now(), time.Second))
}

// Guards against requests with random keys that each cost a call of the key-value
// service.
func TestRefreshLimitsCallsForUnknownKeys(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.heldRevision = f.putConfiguration(is)
	for range 1000 {
		f.Refresh(context.Background())
		f.clock.Advance(4 * time.Millisecond)
	}
	is.True(f.store.CallCount(memorystore.Watch) <= 3)
}

// Guards against a follower that calls the key-value service at each check while it is
// down: every call is counted.
func TestFollowerBacksOffDuringOutage(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.IsRelay = func() bool { return false }
	var b backoff
	asked := 0
	for second := range 12 {
		now := timer.Instant(0).Add(time.Duration(second) * time.Second)
		if now >= b.until {
			asked++
			b = b.next(errNotApplied, now, false, 4*time.Second)
		}
	}
	is.Equal(asked, 5) // after 0, 1, 3, 7 and 11 seconds
	is.Equal(b.next(nil, 0, false, 4*time.Second), backoff{})
	// A relay does not pause: other instances depend on it.
	is.Equal(backoff{}.next(errNotApplied, 9, true, 4*time.Second).until, timer.Instant(0))
}

// Guards against requests with keys that are still refused long after all instances
// started.
func TestFirstConfirmationIsPrompt(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.heldRevision = f.putConfiguration(is)
	var tomb tomb.Tomb
	tomb.Go(func() error { return f.Run(&tomb) })
	defer func() {
		tomb.Kill(nil)
		is.NoErr(tomb.Wait())
	}()
	began := f.clock.Now()
	stop := f.clock.Run(10*time.Millisecond, time.Millisecond)
	defer stop()
	is.True(timer.Poll(timer.Real{}, time.Millisecond, 10*time.Second, nil, func() bool {
		_, ok := f.Record.Age(f.clock.Now())
		return ok
	}))
	age, _ := f.Record.Age(f.clock.Now())
	is.True(f.clock.Now().Sub(began)-age <= startupCheckInterval+100*time.Millisecond)
}

// Guards against an instance that wakes up many times a second for confirmations that
// nothing needs.
func TestConfirmerChecksLessOftenWhenNotNeeded(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	is.Equal(f.checkDelay(), startupCheckInterval) // unknown until there is a configuration
	f.heldRevision = f.putConfiguration(is)
	is.Equal(f.checkDelay(), startupCheckInterval)
	f.Needed = func() bool { return false }
	is.Equal(f.checkDelay(), checkInterval)
}
