package mirror_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/fleet/mirror"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
	"github.com/egretbend/egretbend/internal/standin/space"
)

// bench is a service, a mirror of it and what the mirror passed on.
type bench struct {
	clock *timer.Manual
	store *space.Space
	tomb  tomb.Tomb
	down  atomic.Bool

	mu       sync.Mutex
	held     map[string]string
	suspects []string
	took     chan struct{}
}

func newBench(t *testing.T, settle time.Duration) *bench {
	b := &bench{
		clock: &timer.Manual{},
		held:  make(map[string]string),
		took:  make(chan struct{}, 100),
	}
	b.store = &space.Space{
		Timer: b.clock,
	}
	b.store.Fault = func(space.Call) space.Fault {
		if b.down.Load() {
			return space.Down
		}
		return space.None
	}
	m := &mirror.Mirror{
		Space:  b.store,
		Prefix: "p/",
		Take:   b.take,
		Timer:  b.clock,
		Settle: settle,
		Suspect: func(keys []string) {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.suspects = append(b.suspects, keys...)
		},
	}
	b.tomb.Go(func() error { return m.Run(&b.tomb) })
	t.Cleanup(func() {
		b.tomb.Kill(nil)
		_ = b.tomb.Wait()
	})
	return b
}

func (b *bench) take(changes []keyvalue.Change) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range changes {
		if c.Removed {
			delete(b.held, c.Key)
			continue
		}
		b.held[c.Key] = string(c.Value)
	}
	b.took <- struct{}{}
}

func (b *bench) put(key, value string, lease uint64) error {
	_, err := b.store.Commit(context.Background(), keyvalue.Transaction{
		Writes: []keyvalue.Write{
			{Key: key, Value: []byte(value), Lease: lease},
		},
	})
	return err
}

// reaches drives the clock until the mirror holds a value, or nothing if want is
// empty, and reports whether it did.
func (b *bench) reaches(key, want string) bool {
	for range 2000 {
		b.mu.Lock()
		got := b.held[key]
		b.mu.Unlock()
		if got == want {
			return true
		}
		if timer.Wait(timer.Real{}, time.Millisecond, b.took) {
			b.clock.Advance(10 * time.Millisecond)
		}
	}
	return false
}

// The service forgets its history while watches wait. A mirror that went on from
// its old revision would serve a route that operators removed seconds ago.
func TestForgottenHistoryIsListed(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 0)
	is.NoErr(b.put("p/a", "1", 0))
	is.True(b.reaches("p/a", "1"))
	b.down.Store(true)
	is.NoErr(b.wait())
	b.down.Store(false)
	is.NoErr(b.put("p/a", "2", 0))
	b.store.Compact()
	is.True(b.reaches("p/a", "2"))
}

// wait lets the mirror notice an outage.
func (b *bench) wait() error {
	for range 300 {
		b.clock.Advance(100 * time.Millisecond)
		timer.Wait(timer.Real{}, time.Millisecond, nil)
	}
	return nil
}

// The service is away for long, and the entries of upstreams lapse meanwhile.
// They are back about two seconds later. Without a pause every upstream would be
// dropped at the end of the outage and callers refused.
func TestEntriesThatLapsedInAnOutageAreKept(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 2*time.Second)
	lease, err := b.store.Grant(context.Background(), time.Hour)
	is.NoErr(err)
	is.NoErr(b.put("p/a", "1", lease))
	is.True(b.reaches("p/a", "1"))
	b.down.Store(true)
	is.NoErr(b.wait())
	b.down.Store(false)
	b.store.Lapse(lease)
	is.NoErr(b.put("p/b", "1", 0))
	is.True(b.reaches("p/b", "1")) // the mirror is back
	b.mu.Lock()
	kept := b.held["p/a"]
	b.mu.Unlock()
	is.Equal(kept, "1")
	// Suspects are told after the changes that came with them.
	var suspects []string
	timer.Until(timer.Real{}, time.Millisecond, 5*time.Second, nil, func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		suspects = b.suspects
		return len(suspects) > 0
	})
	is.Equal(suspects, []string{"p/a"}) // who can ask its owner need not wait
	is.True(b.reaches("p/a", ""))       // and gone after the pause
}
