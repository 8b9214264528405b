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
	"github.com/egretbend/egretbend/internal/standin/property"
)

const (
	bound            = 5 * time.Second
	instanceCount    = 3
	keyCount         = 4
	configurationKey = "configuration"
)

// disabledMechanisms selects the mechanisms that a test disables. Each refutation test
// disables one of them and expects the property to fail.
type disabledMechanisms struct {
	bound           bool // the age of the confirmation is not limited
	revisionCheck   bool // a confirmation of another instance counts for any revision
	suspensionClock bool // the clock of an instance stops while it is suspended
}

// testFleet simulates operators who add and remove keys, and the instances that follow
// their changes.
type testFleet struct {
	t        *rapid.T
	disabled disabledMechanisms
	clock    timer.Manual
	// keysByRevision holds the set of keys of each revision, the newest last.
	keysByRevision []map[int]bool
	// removedAt holds the time at which each removed key was removed.
	removedAt map[int]timer.Instant
	instances []*instance
}

// instance simulates an instance that may be disconnected or suspended.
type instance struct {
	fleet         *testFleet
	revision      uint64
	config        catalog.Holder
	record        confirmation.Record
	confirmer     confirmation.Confirmer
	authenticator identity.Authenticator
	disconnected  bool
	suspendedFor  time.Duration
}

// Now implements timer.Service. It returns the time on the instance's own clock.
func (i *instance) Now() timer.Instant { return i.fleet.clock.Now().Add(-i.suspendedFor) }

// Every implements timer.Service.
func (i *instance) Every(d time.Duration) *timer.Subscription { return i.fleet.clock.Every(d) }

// Once implements timer.Service.
func (i *instance) Once(d time.Duration) *timer.Subscription { return i.fleet.clock.Once(d) }

func newTestFleet(t *rapid.T, disabled disabledMechanisms) *testFleet {
	f := &testFleet{
		t:         t,
		disabled:  disabled,
		removedAt: make(map[int]timer.Instant),
	}
	f.clock.Advance(time.Hour)
	f.addRevision(func(m map[int]bool) { m[0], m[1] = true, true })
	for range instanceCount {
		f.instances = append(f.instances, f.startInstance())
	}
	return f
}

// startInstance starts an instance without a configuration.
func (f *testFleet) startInstance() *instance {
	i := &instance{
		fleet: f,
	}
	i.confirmer = confirmation.Confirmer{
		Record:       &i.record,
		Source:       i,
		Key:          configurationKey,
		HeldRevision: func() uint64 { return i.revision },
		Apply:        i.applyChanges,
		Timer:        i,
	}
	i.authenticator = identity.Authenticator{
		Config: &i.config,
		Record: &i.record,
		Bound:  bound,
		Timer:  i,
	}
	if f.disabled.bound {
		i.authenticator.Bound = 0
	}
	return i
}

// addRevision adds a revision of the configuration with changed keys.
func (f *testFleet) addRevision(change func(map[int]bool)) {
	next := make(map[int]bool)
	if len(f.keysByRevision) > 0 {
		next = maps.Clone(f.keysByRevision[len(f.keysByRevision)-1])
	}
	change(next)
	f.keysByRevision = append(f.keysByRevision, next)
}

// applyRevision puts a revision of the configuration in force, which may be an old one.
func (i *instance) applyRevision(revision uint64) {
	var orgs []organisation.Organisation
	for k := range keyCount {
		o := organisation.Organisation{Name: fmt.Sprint("org-", k)}
		if i.fleet.keysByRevision[revision-1][k] {
			o.Digests = []organisation.Digest{organisation.DigestOf(fmt.Sprint("key-", k))}
		}
		orgs = append(orgs, o)
	}
	i.config.Update(catalog.Configuration{
		Version:       revision,
		Organisations: organisation.NewDirectory(orgs),
	}.WithIndex())
	i.revision = max(i.revision, revision)
}

func (i *instance) applyChanges(changes []keyvalue.Change) {
	i.applyRevision(changes[len(changes)-1].Revision)
}

// ChangesSince implements confirmation.Source. The response takes some time to arrive, and
// operators may change the configuration in the meantime.
func (i *instance) ChangesSince(context.Context, string, uint64) ([]keyvalue.Change, uint64, error) {
	if i.disconnected {
		return nil, 0, keyvalue.ErrUnavailable
	}
	newest := uint64(len(i.fleet.keysByRevision))
	i.fleet.clock.Advance(time.Duration(rapid.IntRange(0, 7).Draw(i.fleet.t, "seconds on the way")) * time.Second)
	if rapid.Bool().Draw(i.fleet.t, "meanwhile") {
		i.fleet.removeKey(0)
	}
	if newest <= i.revision {
		return nil, newest, nil
	}
	return []keyvalue.Change{{Item: keyvalue.Item{Key: configurationKey, Revision: newest}}}, newest, nil
}

// Get implements confirmation.Source.
func (i *instance) Get(context.Context, string) (keyvalue.Item, error) {
	return keyvalue.Item{Key: configurationKey, Revision: uint64(len(i.fleet.keysByRevision))}, nil
}

// removeKey removes a key. A removed key is never added again.
func (f *testFleet) removeKey(k int) {
	if f.keysByRevision[len(f.keysByRevision)-1][k] {
		f.addRevision(func(m map[int]bool) { delete(m, k) })
		f.removedAt[k] = f.clock.Now()
	}
}

// sendRequest sends a request with a key to an instance and checks the verdict: a key
// must be refused once it was removed for bound, and an initial key that was not
// removed must not be called unknown.
func (f *testFleet) sendRequest(i *instance, k int) {
	_, err := i.authenticator.Identify(context.Background(), identity.Call{
		Header: http.Header{"Authorization": {fmt.Sprint("Bearer key-", k)}},
	})
	at, gone := f.removedAt[k]
	if err == nil && gone && f.clock.Now().Sub(at) >= bound {
		f.t.Fatalf("key %d was accepted %s after it was removed", k, f.clock.Now().Sub(at))
	}
	if problem.Is(err, problem.Unauthorized) && !gone && f.isInitialKey(k) {
		f.t.Fatalf("key %d was refused as unknown although it is valid", k)
	}
}

// isInitialKey reports whether a key is in the first revision, so that it was in force
// for longer than a new key needs to reach all instances.
func (f *testFleet) isInitialKey(k int) bool { return k < 2 }

// relayConfirmation passes the last confirmation of one instance to another one.
func (f *testFleet) relayConfirmation(from, to *instance) {
	age, ok := from.record.Age(from.Now())
	if !ok {
		return
	}
	revision := from.revision
	if f.disabled.revisionCheck {
		revision = 0
	}
	to.confirmer.AcceptRemote(to.Now().Add(-age), revision)
}

// suspend suspends an instance for the duration d.
func (f *testFleet) suspend(i *instance, d time.Duration) {
	f.clock.Advance(d)
	if f.disabled.suspensionClock {
		i.suspendedFor += d
	}
}

// randomHistory returns a property that runs a random history of a fleet.
func randomHistory(disabled disabledMechanisms) func(*rapid.T) {
	return func(t *rapid.T) {
		f := newTestFleet(t, disabled)
		some := func(label string) *instance { return f.instances[rapid.IntRange(0, instanceCount-1).Draw(t, label)] }
		number := func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(t, label) }
		t.Repeat(map[string]func(*rapid.T){
			"add": func(*rapid.T) {
				if k := 2 + number("key", 2); f.removedAt[k] == 0 {
					f.addRevision(func(m map[int]bool) { m[k] = true })
				}
			},
			"take away": func(*rapid.T) { f.removeKey(number("key", keyCount)) },
			"confirm":   func(*rapid.T) { _ = some("instance").confirmer.Confirm(context.Background()) },
			"read old": func(*rapid.T) {
				some("instance").applyRevision(uint64(1 + number("revision", len(f.keysByRevision))))
			},
			"tell":    func(*rapid.T) { f.relayConfirmation(some("from"), some("to")) },
			"cut":     func(*rapid.T) { i := some("instance"); i.disconnected = !i.disconnected },
			"sleep":   func(*rapid.T) { f.suspend(some("instance"), time.Duration(number("seconds", 9))*time.Second) },
			"restart": func(*rapid.T) { f.instances[number("instance", instanceCount)] = f.startInstance() },
			"wait":    func(*rapid.T) { f.clock.Advance(time.Duration(number("ms", 4000)) * time.Millisecond) },
			"ask":     func(*rapid.T) { f.sendRequest(some("instance"), number("key", keyCount)) },
		})
	}
}

// Guards against keys that are accepted for longer than the bound after their removal,
// and against the refusal of valid keys.
func TestRemovedKeyIsRefusedWithinBound(t *testing.T) {
	property.Check(t, randomHistory(disabledMechanisms{}))
}

// Without a bound, a disconnected instance accepts a removed key forever.
func TestRemovedKeyNeedsBound(t *testing.T) {
	property.CheckFails(t, randomHistory(disabledMechanisms{bound: true}))
}

// Without the revision check, a confirmation from an instance with a newer configuration
// confirms an older configuration on another instance.
func TestConfirmationNeedsMatchingRevision(t *testing.T) {
	property.CheckFails(t, randomHistory(disabledMechanisms{revisionCheck: true}))
}

// If the clock does not advance while an instance is suspended, the instance takes an
// old confirmation for a recent one.
func TestClockMustAdvanceDuringSuspension(t *testing.T) {
	property.CheckFails(t, randomHistory(disabledMechanisms{suspensionClock: true}))
}
