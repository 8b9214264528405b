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
	f := &fixture{
		clock:   &timer.Manual{},
		values:  make(map[string]string),
		changed: make(chan struct{}, 100),
	}
	f.store = &memorystore.Store{
		Timer: f.clock,
	}
	f.store.Fault = func(memorystore.Operation) memorystore.Fault {
		if f.down.Load() {
			return memorystore.Down
		}
		return memorystore.None
	}
	m := &mirror.Mirror{
		Store:        f.store,
		Prefix:       "p/",
		OnChange:     f.recordChanges,
		Timer:        f.clock,
		RemovalDelay: removalDelay,
		OnRemovalDelayed: func(keys []string) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.suspects = append(f.suspects, keys...)
		},
	}
	f.tomb.Go(func() error { return m.Run(&f.tomb) })
	t.Cleanup(func() {
		f.tomb.Kill(nil)
		_ = f.tomb.Wait()
	})
	return f
}

func (f *fixture) recordChanges(changes []keyvalue.Change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range changes {
		if c.Removed {
			delete(f.values, c.Key)
			continue
		}
		f.values[c.Key] = string(c.Value)
	}
	f.changed <- struct{}{}
}

func (f *fixture) put(key, value string, lease uint64) error {
	_, err := f.store.Commit(context.Background(), keyvalue.Transaction{
		Writes: []keyvalue.Write{
			{Key: key, Value: []byte(value), Lease: lease},
		},
	})
	return err
}

// waitForValue advances the clock until a key has the wanted value, or is absent if want
// is empty, and reports whether it got there.
func (f *fixture) waitForValue(key, want string) bool {
	for range 2000 {
		f.mu.Lock()
		got := f.values[key]
		f.mu.Unlock()
		if got == want {
			return true
		}
		if timer.Wait(timer.Real{}, time.Millisecond, f.changed) {
			f.clock.Advance(10 * time.Millisecond)
		}
	}
	return false
}

// The service drops its history while a watch waits. Guards against a mirror that
// continues from its old revision: it would keep a route that operators removed
// seconds ago.
func TestListsAgainAfterCompaction(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 0)
	is.NoErr(f.put("p/a", "1", 0))
	is.True(f.waitForValue("p/a", "1"))
	f.down.Store(true)
	is.NoErr(f.passOutage())
	f.down.Store(false)
	is.NoErr(f.put("p/a", "2", 0))
	f.store.Compact()
	is.True(f.waitForValue("p/a", "2"))
}

// passOutage advances the clock until the mirror has noticed an outage.
func (f *fixture) passOutage() error {
	for range 300 {
		f.clock.Advance(100 * time.Millisecond)
		timer.Wait(timer.Real{}, time.Millisecond, nil)
	}
	return nil
}

// The service is unavailable for so long that the entries of upstreams lapse. They are
// written again about two seconds later. Guards against a mirror that removes every
// upstream at the end of the outage, so that callers are refused.
func TestKeepsEntriesLapsedInOutage(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 2*time.Second)
	lease, err := f.store.Grant(context.Background(), time.Hour)
	is.NoErr(err)
	is.NoErr(f.put("p/a", "1", lease))
	is.True(f.waitForValue("p/a", "1"))
	f.down.Store(true)
	is.NoErr(f.passOutage())
	f.down.Store(false)
	f.store.ExpireLease(lease)
	is.NoErr(f.put("p/b", "1", 0))
	is.True(f.waitForValue("p/b", "1")) // the mirror follows again
	f.mu.Lock()
	kept := f.values["p/a"]
	f.mu.Unlock()
	is.Equal(kept, "1")
	// OnRemovalDelayed is called after OnChange, so it may still be missing here.
	var suspects []string
	timer.Poll(timer.Real{}, time.Millisecond, 5*time.Second, nil, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		suspects = f.suspects
		return len(suspects) > 0
	})
	// The caller can ask the owner without waiting for RemovalDelay.
	is.Equal(suspects, []string{"p/a"})
	is.True(f.waitForValue("p/a", "")) // removed after RemovalDelay
}

// Guards against a copy of the prefix that lacks the items which were known before it was kept
// again, and against a second report of these to the one who follows the changes.
func TestAllItemsAreSeenAgainOnDemand(t *testing.T) {
	is := is.New(t)
	clock := &timer.Manual{}
	store := &memorystore.Store{Timer: clock}
	for _, key := range []string{"p/a", "p/b"} {
		_, err := store.Commit(context.Background(), keyvalue.Transaction{Writes: []keyvalue.Write{{Key: key, Value: []byte("1")}}})
		is.NoErr(err)
	}
	var needsAll atomic.Bool
	var mu sync.Mutex
	seen, changed := make(map[string]int), make(map[string]int)
	count := func(counts map[string]int, changes []keyvalue.Change) {
		mu.Lock()
		defer mu.Unlock()
		for _, c := range changes {
			counts[c.Key]++
		}
	}
	m := &mirror.Mirror{
		Store:    store,
		Prefix:   "p/",
		Timer:    clock,
		OnChange: func(changes []keyvalue.Change) { count(changed, changes) },
		OnSeen:   func(changes []keyvalue.Change, _ uint64) { count(seen, changes) },
		NeedsAll: func() bool { return needsAll.Swap(false) },
	}
	var running tomb.Tomb
	running.Go(func() error { return m.Run(&running) })
	t.Cleanup(clock.Run(20*time.Millisecond, time.Millisecond))
	t.Cleanup(func() {
		running.Kill(nil)
		_ = running.Wait()
	})
	await := func(holds func() bool) {
		is.True(timer.Poll(timer.Real{}, time.Millisecond, 5*time.Second, nil, func() bool {
			mu.Lock()
			defer mu.Unlock()
			return holds()
		}))
	}
	await(func() bool { return seen["p/a"] == 1 && seen["p/b"] == 1 })
	needsAll.Store(true)
	_, err := store.Commit(context.Background(), keyvalue.Transaction{Writes: []keyvalue.Write{{Key: "p/b", Value: []byte("2")}}})
	is.NoErr(err)
	await(func() bool { return seen["p/a"] == 2 && changed["p/b"] == 2 })
	mu.Lock()
	defer mu.Unlock()
	is.Equal(changed["p/a"], 1)
}
