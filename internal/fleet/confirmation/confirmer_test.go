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
func (a storeSource) ChangesSince(ctx context.Context, prefix string, after uint64) ([]keyvalue.Change, uint64, error) {
	return a.Watch(ctx, prefix, after, 0)
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
	d := &fixture{
		clock: &timer.Manual{},
	}
	d.clock.Advance(time.Hour)
	t.Cleanup(d.clock.Run(0, time.Millisecond))
	d.store = &memorystore.Store{
		Timer: d.clock,
		Fault: func(memorystore.Operation) memorystore.Fault { return d.fault },
	}
	d.Confirmer = Confirmer{
		Record:       &Record{},
		Source:       storeSource{d.store},
		Key:          key,
		HeldRevision: func() uint64 { return d.heldRevision },
		Apply:        func(changes []keyvalue.Change) { d.heldRevision = changes[len(changes)-1].Revision },
		Needed:       func() bool { return true },
		IsRelay:      func() bool { return true },
		Timer:        d.clock,
	}
	return d
}

// putConfiguration writes a configuration and returns its revision.
func (d *fixture) putConfiguration(is *is.I) uint64 {
	rev, err := d.store.Commit(context.Background(), keyvalue.Transaction{
		Writes: []keyvalue.Write{{Key: key, Value: []byte("c")}},
	})
	is.NoErr(err)
	return rev
}

// A confirmation that finds a newer configuration applies it and confirms that one.
func TestConfirmAppliesNewerConfiguration(t *testing.T) {
	is := is.New(t)
	d := newFixture(t)
	d.heldRevision = d.putConfiguration(is)
	is.NoErr(d.Confirm(context.Background()))
	is.True(d.Record.Within(d.clock.Now(), time.Millisecond))
	newer := d.putConfiguration(is)
	d.clock.Advance(time.Second)
	is.NoErr(d.Confirm(context.Background()))
	is.Equal(d.heldRevision, newer)
	is.True(d.Record.Within(d.clock.Now(), time.Millisecond))
}

// Guards against a newer configuration that cannot be decoded: the keys of the previous
// one, which stays in force, must not count as confirmed.
func TestUnappliedConfigurationIsNotConfirmed(t *testing.T) {
	is := is.New(t)
	d := newFixture(t)
	d.heldRevision = d.putConfiguration(is)
	d.Apply = func([]keyvalue.Change) {}
	d.putConfiguration(is)
	is.True(d.Confirm(context.Background()) != nil)
	_, ok := d.Record.Age(d.clock.Now())
	is.True(!ok)
}

// Guards against a relayed confirmation of a newer configuration that marks an older
// one as current.
func TestAcceptIgnoresConfirmationOfNewerRevision(t *testing.T) {
	is := is.New(t)
	d := newFixture(t)
	d.heldRevision = 4
	d.AcceptRemote(d.clock.Now(), 5)
	is.True(!d.Record.Within(d.clock.Now(), time.Second))
	d.AcceptRemote(d.clock.Now(), 4)
	is.True(d.Record.Within(d.clock.Now(), time.Second))
}

// Guards against requests with random keys that each cost a call of the key-value
// service.
func TestRefreshLimitsCallsForUnknownKeys(t *testing.T) {
	is := is.New(t)
	d := newFixture(t)
	d.heldRevision = d.putConfiguration(is)
	for range 1000 {
		d.Refresh(context.Background())
		d.clock.Advance(4 * time.Millisecond)
	}
	is.True(d.store.CallCount(memorystore.Watch) <= 3)
}

// Guards against a follower that calls the key-value service at each check while it is
// down: every call is counted.
func TestFollowerBacksOffDuringOutage(t *testing.T) {
	is := is.New(t)
	d := newFixture(t)
	d.IsRelay = func() bool { return false }
	var b backoff
	asked := 0
	for second := range 12 {
		now := timer.Instant(0).Add(time.Duration(second) * time.Second)
		if now >= b.until {
			asked++
			b = b.next(errNotApplied, now, false)
		}
	}
	is.Equal(asked, 5) // after 0, 1, 3, 7 and 11 seconds
	is.Equal(b.next(nil, 0, false), backoff{})
	// A relay does not pause: other instances depend on it.
	is.Equal(backoff{}.next(errNotApplied, 9, true).until, timer.Instant(0))
}

// Guards against requests with keys that are still refused long after all instances
// started.
func TestFirstConfirmationIsPrompt(t *testing.T) {
	is := is.New(t)
	d := newFixture(t)
	d.heldRevision = d.putConfiguration(is)
	var tomb tomb.Tomb
	tomb.Go(func() error { return d.Run(&tomb) })
	defer func() {
		tomb.Kill(nil)
		is.NoErr(tomb.Wait())
	}()
	began := d.clock.Now()
	stop := d.clock.Run(10*time.Millisecond, time.Millisecond)
	defer stop()
	is.True(timer.Poll(timer.Real{}, time.Millisecond, 10*time.Second, nil, func() bool {
		_, ok := d.Record.Age(d.clock.Now())
		return ok
	}))
	age, _ := d.Record.Age(d.clock.Now())
	is.True(d.clock.Now().Sub(began)-age <= startupCheckInterval+100*time.Millisecond)
}

// Guards against an instance that wakes up many times a second for confirmations that
// nothing needs.
func TestConfirmerChecksLessOftenWhenNotNeeded(t *testing.T) {
	is := is.New(t)
	d := newFixture(t)
	is.Equal(d.checkDelay(), startupCheckInterval) // unknown until there is a configuration
	d.heldRevision = d.putConfiguration(is)
	is.Equal(d.checkDelay(), startupCheckInterval)
	d.Needed = func() bool { return false }
	is.Equal(d.checkDelay(), checkInterval)
}
