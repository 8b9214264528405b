package confirmation

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
	"github.com/egretbend/egretbend/internal/standin/space"
)

// at answers as a space does, with the changes at once.
type at struct {
	*space.Space
}

// Changes implements Source.
func (a at) Changes(ctx context.Context, prefix string, after uint64) ([]keyvalue.Change, uint64, error) {
	return a.Watch(ctx, prefix, after, 0)
}

// fixture is a keeper on a store of its own.
type fixture struct {
	Keeper
	clock *timer.Manual
	store *space.Space
	held  uint64
	fault space.Fault
}

const key = "configuration"

func newFixture(t *testing.T) *fixture {
	d := &fixture{
		clock: &timer.Manual{},
	}
	d.clock.Advance(time.Hour)
	t.Cleanup(d.clock.Run(0, time.Millisecond))
	d.store = &space.Space{
		Timer: d.clock,
		Fault: func(space.Call) space.Fault { return d.fault },
	}
	d.Keeper = Keeper{
		Record: &Record{},
		Source: at{d.store},
		Key:    key,
		Held:   func() uint64 { return d.held },
		Take:   func(changes []keyvalue.Change) { d.held = changes[len(changes)-1].Revision },
		Needed: func() bool { return true },
		Relays: func() bool { return true },
		Timer:  d.clock,
	}
	return d
}

// put writes a configuration and returns its revision.
func (d *fixture) put(is *is.I) uint64 {
	rev, err := d.store.Commit(context.Background(), keyvalue.Transaction{
		Writes: []keyvalue.Write{{Key: key, Value: []byte("c")}},
	})
	is.NoErr(err)
	return rev
}

func TestConfirmTakesWhatIsNew(t *testing.T) {
	is := is.New(t)
	d := newFixture(t)
	d.held = d.put(is)
	is.NoErr(d.Confirm(context.Background()))
	is.True(d.Record.Within(d.clock.Now(), time.Millisecond))
	newer := d.put(is)
	d.clock.Advance(time.Second)
	is.NoErr(d.Confirm(context.Background()))
	is.Equal(d.held, newer)
	is.True(d.Record.Within(d.clock.Now(), time.Millisecond))
}

// Guards against a configuration that can not be read and leaves the keys of the one before in force.
func TestConfigurationThatIsNotTakenIsNotConfirmed(t *testing.T) {
	is := is.New(t)
	d := newFixture(t)
	d.held = d.put(is)
	d.Take = func([]keyvalue.Change) {}
	d.put(is)
	is.True(d.Confirm(context.Background()) != nil)
	_, ok := d.Record.Age(d.clock.Now())
	is.True(!ok)
}

// Guards against a confirmation of a newer configuration that makes an older one current.
func TestWordOfAnotherInstanceCountsForItsRevisionOnly(t *testing.T) {
	is := is.New(t)
	d := newFixture(t)
	d.held = 4
	d.Accept(d.clock.Now(), 5)
	is.True(!d.Record.Within(d.clock.Now(), time.Second))
	d.Accept(d.clock.Now(), 4)
	is.True(d.Record.Within(d.clock.Now(), time.Second))
}

// Someone tries keys at random. Each would cost a call of the service.
func TestUnknownKeysCauseFewCalls(t *testing.T) {
	is := is.New(t)
	d := newFixture(t)
	d.held = d.put(is)
	for range 1000 {
		d.Refresh(context.Background())
		d.clock.Advance(4 * time.Millisecond)
	}
	is.True(d.store.Calls(space.Watch) <= 3)
}

// A follower whose service is away would ask at each look, and each call is counted.
func TestFollowersAskLessAndLessInAnOutage(t *testing.T) {
	is := is.New(t)
	d := newFixture(t)
	d.Relays = func() bool { return false }
	var r rests
	asked := 0
	for second := range 12 {
		now := timer.Instant(0).Add(time.Duration(second) * time.Second)
		if now >= r.until {
			asked++
			r = r.after(errNotTaken, now, false)
		}
	}
	is.Equal(asked, 5) // after 0, 1, 3, 7 and 11 seconds
	is.Equal(r.after(nil, 0, false), rests{})
	is.Equal(rests{}.after(errNotTaken, 9, true).until, timer.Instant(0)) // others wait for its word
}

// Guards against requests with keys that are refused long after a start of all instances.
func TestFirstConfirmationComesSoon(t *testing.T) {
	is := is.New(t)
	d := newFixture(t)
	d.held = d.put(is)
	var tomb tomb.Tomb
	tomb.Go(func() error { return d.Run(&tomb) })
	defer func() {
		tomb.Kill(nil)
		is.NoErr(tomb.Wait())
	}()
	began := d.clock.Now()
	stop := d.clock.Run(10*time.Millisecond, time.Millisecond)
	defer stop()
	is.True(timer.Until(timer.Real{}, time.Millisecond, 10*time.Second, nil, func() bool {
		_, ok := d.Record.Age(d.clock.Now())
		return ok
	}))
	age, _ := d.Record.Age(d.clock.Now())
	is.True(d.clock.Now().Sub(began)-age <= firstEvery+100*time.Millisecond)
}

// Guards against an instance that wakes up many times a second for confirmations that nobody needs.
func TestKeeperRestsWhereNoneIsNeeded(t *testing.T) {
	is := is.New(t)
	d := newFixture(t)
	is.Equal(d.pause(), firstEvery) // no configuration says yet
	d.held = d.put(is)
	is.Equal(d.pause(), firstEvery)
	d.Needed = func() bool { return false }
	is.Equal(d.pause(), checkEvery)
}
