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
	"github.com/egretbend/egretbend/internal/standin/memorystore"
)

// fixture holds a service, a mirror of it and the values that the mirror passed on.
type fixture struct {
	clock *timer.Manual
	store *memorystore.Store
	tomb  tomb.Tomb
	down  atomic.Bool

	mu       sync.Mutex
	values   map[string]string
	suspects []string
	changed  chan struct{}
}

func newFixture(t *testing.T, removalDelay time.Duration) *fixture {
	b := &fixture{
		clock:   &timer.Manual{},
		values:  make(map[string]string),
		changed: make(chan struct{}, 100),
	}
	b.store = &memorystore.Store{
		Timer: b.clock,
	}
	b.store.Fault = func(memorystore.Operation) memorystore.Fault {
		if b.down.Load() {
			return memorystore.Down
		}
		return memorystore.None
	}
	m := &mirror.Mirror{
		Store:        b.store,
		Prefix:       "p/",
		OnChange:     b.recordChanges,
		Timer:        b.clock,
		RemovalDelay: removalDelay,
		OnRemovalDelayed: func(keys []string) {
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

func (b *fixture) recordChanges(changes []keyvalue.Change) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range changes {
		if c.Removed {
			delete(b.values, c.Key)
			continue
		}
		b.values[c.Key] = string(c.Value)
	}
	b.changed <- struct{}{}
}

func (b *fixture) put(key, value string, lease uint64) error {
	_, err := b.store.Commit(context.Background(), keyvalue.Transaction{
		Writes: []keyvalue.Write{
			{Key: key, Value: []byte(value), Lease: lease},
		},
	})
	return err
}

// waitForValue advances the clock until a key has the wanted value, or is absent if want
// is empty, and reports whether it got there.
func (b *fixture) waitForValue(key, want string) bool {
	for range 2000 {
		b.mu.Lock()
		got := b.values[key]
		b.mu.Unlock()
		if got == want {
			return true
		}
		if timer.Wait(timer.Real{}, time.Millisecond, b.changed) {
			b.clock.Advance(10 * time.Millisecond)
		}
	}
	return false
}

// The service drops its history while a watch waits. Guards against a mirror that
// continues from its old revision: it would keep a route that operators removed
// seconds ago.
func TestListsAgainAfterCompaction(t *testing.T) {
	is := is.New(t)
	b := newFixture(t, 0)
	is.NoErr(b.put("p/a", "1", 0))
	is.True(b.waitForValue("p/a", "1"))
	b.down.Store(true)
	is.NoErr(b.passOutage())
	b.down.Store(false)
	is.NoErr(b.put("p/a", "2", 0))
	b.store.Compact()
	is.True(b.waitForValue("p/a", "2"))
}

// passOutage advances the clock until the mirror has noticed an outage.
func (b *fixture) passOutage() error {
	for range 300 {
		b.clock.Advance(100 * time.Millisecond)
		timer.Wait(timer.Real{}, time.Millisecond, nil)
	}
	return nil
}

// The service is unavailable for so long that the entries of upstreams lapse. They are
// written again about two seconds later. Guards against a mirror that removes every
// upstream at the end of the outage, so that callers are refused.
func TestKeepsEntriesLapsedInOutage(t *testing.T) {
	is := is.New(t)
	b := newFixture(t, 2*time.Second)
	lease, err := b.store.Grant(context.Background(), time.Hour)
	is.NoErr(err)
	is.NoErr(b.put("p/a", "1", lease))
	is.True(b.waitForValue("p/a", "1"))
	b.down.Store(true)
	is.NoErr(b.passOutage())
	b.down.Store(false)
	b.store.ExpireLease(lease)
	is.NoErr(b.put("p/b", "1", 0))
	is.True(b.waitForValue("p/b", "1")) // the mirror follows again
	b.mu.Lock()
	kept := b.values["p/a"]
	b.mu.Unlock()
	is.Equal(kept, "1")
	// OnRemovalDelayed is called after OnChange, so it may still be missing here.
	var suspects []string
	timer.Poll(timer.Real{}, time.Millisecond, 5*time.Second, nil, func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		suspects = b.suspects
		return len(suspects) > 0
	})
	// The caller can ask the owner without waiting for RemovalDelay.
	is.Equal(suspects, []string{"p/a"})
	is.True(b.waitForValue("p/a", "")) // removed after RemovalDelay
}
