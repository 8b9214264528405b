package identity_test

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/egretbend/egretbend/internal/entry/identity"
	"github.com/egretbend/egretbend/internal/fleet/confirmation"
	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
	"github.com/egretbend/egretbend/internal/route/catalog"
	"github.com/egretbend/egretbend/internal/route/organisation"
	"github.com/egretbend/egretbend/internal/standin/proof"
)

const (
	bound     = 5 * time.Second
	instances = 3
	keys      = 4
	key       = "configuration"
)

// mechanisms are what the proofs switch off, one at a time.
type mechanisms struct {
	bound     bool // keys hold for good
	revisions bool // the word of another instance counts for any configuration
	suspended bool // the clock of an instance stands still while it is suspended
}

// world is operators who add and take away keys, and instances that follow.
type world struct {
	t     *rapid.T
	off   mechanisms
	clock timer.Manual
	// held are the keys in force by revision, the newest last.
	held []map[int]bool
	// taken is when a key was taken away, or zero.
	taken     map[int]timer.Instant
	instances []*instance
}

// instance is one that may be cut off or suspended.
type instance struct {
	w        *world
	revision uint64
	config   catalog.Holder
	record   confirmation.Record
	keeper   confirmation.Keeper
	gate     identity.Gate
	cut      bool
	slept    time.Duration
}

// Now implements the part of timer.Service that is used.
func (i *instance) Now() timer.Instant { return i.w.clock.Now().Add(-i.slept) }

// Every implements timer.Service.
func (i *instance) Every(d time.Duration) *timer.Subscription { return i.w.clock.Every(d) }

// Once implements timer.Service.
func (i *instance) Once(d time.Duration) *timer.Subscription { return i.w.clock.Once(d) }

func newWorld(t *rapid.T, off mechanisms) *world {
	w := &world{
		t:     t,
		off:   off,
		taken: make(map[int]timer.Instant),
	}
	w.clock.Advance(time.Hour)
	w.operate(func(m map[int]bool) { m[0], m[1] = true, true })
	for range instances {
		w.instances = append(w.instances, w.start())
	}
	return w
}

// start begins the life of an instance, which reads the configuration from wherever.
func (w *world) start() *instance {
	i := &instance{
		w: w,
	}
	i.keeper = confirmation.Keeper{
		Record: &i.record,
		Source: i,
		Key:    key,
		Held:   func() uint64 { return i.revision },
		Take:   i.take,
		Timer:  i,
	}
	i.gate = identity.Gate{
		Config: &i.config,
		Record: &i.record,
		Bound:  bound,
		Timer:  i,
	}
	if w.off.bound {
		i.gate.Bound = 0
	}
	return i
}

// operate makes a new configuration.
func (w *world) operate(change func(map[int]bool)) {
	next := make(map[int]bool)
	if len(w.held) > 0 {
		next = maps.Clone(w.held[len(w.held)-1])
	}
	change(next)
	w.held = append(w.held, next)
}

// read puts the configuration of a revision in force.
func (i *instance) read(revision uint64) {
	var orgs []organisation.Organisation
	for k := range keys {
		o := organisation.Organisation{Name: fmt.Sprint("org-", k)}
		if i.w.held[revision-1][k] {
			o.Digests = []organisation.Digest{organisation.DigestOf(fmt.Sprint("key-", k))}
		}
		orgs = append(orgs, o)
	}
	i.config.Take(catalog.Configuration{
		Version:       revision,
		Organisations: organisation.NewDirectory(orgs),
	}.WithIndex())
	i.revision = max(i.revision, revision)
}

func (i *instance) take(changes []keyvalue.Change) { i.read(changes[len(changes)-1].Revision) }

// Changes implements confirmation.Source. Its answer is some time on its way, in which
// operators go on.
func (i *instance) Changes(context.Context, string, uint64) ([]keyvalue.Change, uint64, error) {
	if i.cut {
		return nil, 0, keyvalue.ErrDown
	}
	newest := uint64(len(i.w.held))
	i.w.clock.Advance(time.Duration(rapid.IntRange(0, 7).Draw(i.w.t, "seconds on the way")) * time.Second)
	if rapid.Bool().Draw(i.w.t, "meanwhile") {
		i.w.takeAway(0)
	}
	if newest <= i.revision {
		return nil, newest, nil
	}
	return []keyvalue.Change{{Item: keyvalue.Item{Key: key, Revision: newest}}}, newest, nil
}

// Get implements confirmation.Source.
func (i *instance) Get(context.Context, string) (keyvalue.Item, error) {
	return keyvalue.Item{Key: key, Revision: uint64(len(i.w.held))}, nil
}

// takeAway takes a key away; one that was is not given again.
func (w *world) takeAway(k int) {
	if w.held[len(w.held)-1][k] {
		w.operate(func(m map[int]bool) { delete(m, k) })
		w.taken[k] = w.clock.Now()
	}
}

// ask sends a request with a key to an instance.
func (w *world) ask(i *instance, k int) {
	_, err := i.gate.Identify(context.Background(), identity.Call{
		Header: http.Header{"Authorization": {fmt.Sprint("Bearer key-", k)}},
	})
	at, gone := w.taken[k]
	if err == nil && gone && w.clock.Now().Sub(at) >= bound {
		w.t.Fatalf("key %d ran %s after it was taken away", k, w.clock.Now().Sub(at))
	}
	if problem.Is(err, problem.Unauthorized) && !gone && w.everywhere(k) {
		w.t.Fatalf("key %d was denied though it holds", k)
	}
}

// everywhere reports whether a key was in force for longer than an added one may need.
func (w *world) everywhere(k int) bool { return k < 2 }

// tell passes the word of one instance on to another one.
func (w *world) tell(from, to *instance) {
	age, ok := from.record.Age(from.Now())
	if !ok {
		return
	}
	revision := from.revision
	if w.off.revisions {
		revision = 0
	}
	to.keeper.Accept(to.Now().Add(-age), revision)
}

// sleep suspends an instance.
func (w *world) sleep(i *instance, d time.Duration) {
	w.clock.Advance(d)
	if w.off.suspended {
		i.slept += d
	}
}

func history(off mechanisms) func(*rapid.T) {
	return func(t *rapid.T) {
		w := newWorld(t, off)
		some := func(label string) *instance { return w.instances[rapid.IntRange(0, instances-1).Draw(t, label)] }
		number := func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(t, label) }
		t.Repeat(map[string]func(*rapid.T){
			"add": func(*rapid.T) {
				if k := 2 + number("key", 2); w.taken[k] == 0 {
					w.operate(func(m map[int]bool) { m[k] = true })
				}
			},
			"take away": func(*rapid.T) { w.takeAway(number("key", keys)) },
			"confirm":   func(*rapid.T) { _ = some("instance").keeper.Confirm(context.Background()) },
			"read old": func(*rapid.T) {
				some("instance").read(uint64(1 + number("revision", len(w.held))))
			},
			"tell":    func(*rapid.T) { w.tell(some("from"), some("to")) },
			"cut":     func(*rapid.T) { i := some("instance"); i.cut = !i.cut },
			"sleep":   func(*rapid.T) { w.sleep(some("instance"), time.Duration(number("seconds", 9))*time.Second) },
			"restart": func(*rapid.T) { w.instances[number("instance", instances)] = w.start() },
			"wait":    func(*rapid.T) { w.clock.Advance(time.Duration(number("ms", 4000)) * time.Millisecond) },
			"ask":     func(*rapid.T) { w.ask(some("instance"), number("key", keys)) },
		})
	}
}

// Guards against keys that run past their bound, and against the denial of keys that hold.
func TestKeysStopWithinTheirBound(t *testing.T) { proof.Check(t, history(mechanisms{})) }

// Without a bound an instance that is cut off serves a key for good.
func TestKeysHoldForGoodWithoutABound(t *testing.T) {
	proof.Refute(t, history(mechanisms{bound: true}))
}

// The word of an instance with a newer configuration would make an older one current.
func TestWordAboutAnotherConfigurationIsNoConfirmation(t *testing.T) {
	proof.Refute(t, history(mechanisms{revisions: true}))
}

// Guards against a suspended instance that takes an old confirmation for a new one.
func TestClockThatStandsStillKeepsOldKeys(t *testing.T) {
	proof.Refute(t, history(mechanisms{suspended: true}))
}
