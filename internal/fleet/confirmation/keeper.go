package confirmation

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/apex/log"
	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/kernel/journal"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
)

// The times of confirmations.
const (
	// checkEvery is how often a keeper checks the age of its confirmation.
	checkEvery = 500 * time.Millisecond
	// firstEvery is how often it checks before its first one. All requests with keys are
	// refused until then.
	firstEvery = 150 * time.Millisecond
	// sourceAge is the age at which an instance that relays confirmations asks again.
	sourceAge = 1200 * time.Millisecond
	// followerAge is the age at which any other one asks by itself: what it is
	// relayed is about two seconds old at most.
	followerAge = 2500 * time.Millisecond
	// firstAge is how long after its start an instance waits for that of another
	// one before it asks by itself. All instances may start at the same moment.
	firstAge = time.Second
	// askTimeout bounds one confirmation.
	askTimeout = time.Second
	// pauseFirst and pauseMost bound the pause of a follower after a confirmation
	// that failed. While the service is away each call counts all the same.
	pauseFirst = time.Second
	pauseMost  = 4 * time.Second
	// refreshEvery is how often a request with an unknown key may cause a
	// confirmation. Without it a flood of such keys would flood the service.
	refreshEvery = 2 * time.Second
	// refreshTimeout bounds the wait of such a request.
	refreshTimeout = 300 * time.Millisecond
)

// Source answers at once with what changed.
type Source interface {
	// Changes returns the changes of a prefix after a revision, and the revision up
	// to which they are all.
	Changes(ctx context.Context, prefix string, after uint64) ([]keyvalue.Change, uint64, error)
	Get(ctx context.Context, key string) (keyvalue.Item, error)
}

// Keeper keeps the configuration confirmed.
type Keeper struct {
	Record *Record
	Source Source
	// Key is where the configuration lies.
	Key string
	// Held returns the revision of the configuration in force.
	Held func() uint64
	// Take puts a newer configuration in force.
	Take func([]keyvalue.Change)
	// Needed reports whether anything depends on confirmations.
	Needed func() bool
	// Relays reports whether other instances get confirmations from this one.
	Relays func() bool
	// Confirmed is called for each confirmation with the revision that it is about; nil
	// is not called.
	Confirmed func(at timer.Instant, revision uint64)
	Timer     timer.Service
	Journal   *journal.Journal

	// asking is held during a confirmation.
	asking sync.Mutex
	after  uint64

	// begun is when a configuration was first held.
	begun timer.Instant

	mu        sync.Mutex
	refreshed timer.Instant
	stale     bool
}

// Run keeps the configuration confirmed until t dies.
func (k *Keeper) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	var r rests
	for timer.Wait(k.Timer, k.pause(), t.Dying()) {
		now := k.Timer.Now()
		if k.due(now) && now >= r.until {
			err := k.Confirm(ctx)
			r = r.after(err, k.Timer.Now(), k.Relays())
		}
	}
	return nil
}

// pause returns how soon to check again: soon until the first confirmation, if there is
// to be one.
func (k *Keeper) pause() time.Duration {
	_, confirmed := k.Record.Age(k.Timer.Now())
	if !confirmed && (k.Held() == 0 || k.Needed()) {
		return firstEvery
	}
	return checkEvery
}

// rests is the pause after confirmations that failed. Its zero value is none.
type rests struct {
	pause time.Duration
	until timer.Instant
}

// after returns the pause after a confirmation. One that relays them goes on asking: all
// others learn from it that the service is back.
func (r rests) after(err error, now timer.Instant, relays bool) rests {
	if err == nil || relays {
		return rests{}
	}
	pause := min(max(pauseFirst, 2*r.pause), pauseMost)
	return rests{
		pause: pause,
		until: now.Add(pause),
	}
}

// due reports whether it is time for a confirmation of this instance's own.
func (k *Keeper) due(now timer.Instant) bool {
	if !k.Needed() || k.Held() == 0 {
		return false
	}
	if k.begun == 0 {
		k.begun = now
	}
	age, ok := k.Record.Age(now)
	switch {
	case !ok && !k.Relays():
		return now.Sub(k.begun) >= firstAge
	case !ok:
		return true
	case k.Relays():
		return age >= sourceAge
	}
	return age >= followerAge
}

// Confirm asks the key-value service now.
func (k *Keeper) Confirm(ctx context.Context) error {
	k.asking.Lock()
	defer k.asking.Unlock()
	err := k.confirm(ctx)
	k.note(err)
	return err
}

// confirm asks what changed since the configuration in force. The moment that
// counts is the start of the call: what the answer says was true then or later.
// The lock asking is held.
func (k *Keeper) confirm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	k.after = max(k.after, k.Held())
	began := k.Timer.Now()
	changes, after, err := k.Source.Changes(ctx, k.Key, k.after)
	if errors.Is(err, keyvalue.ErrCompacted) {
		changes, after, err = k.whole(ctx)
	}
	if err != nil {
		return err
	}
	if len(changes) > 0 {
		k.Take(changes)
	}
	for _, c := range changes {
		if c.Key == k.Key && !c.Removed && c.Revision > k.Held() {
			// What can't be put in force must not be taken for current.
			return errNotTaken
		}
	}
	k.after = max(k.after, after)
	k.Record.Confirm(began)
	if k.Confirmed != nil {
		k.Confirmed(began, k.Held())
	}
	return nil
}

var errNotTaken = errors.New("the newest configuration is not in force here; look for why in the log")

// whole reads the configuration when the service has forgotten what changed.
func (k *Keeper) whole(ctx context.Context) ([]keyvalue.Change, uint64, error) {
	item, err := k.Source.Get(ctx, k.Key)
	if err != nil {
		return nil, 0, err
	}
	return []keyvalue.Change{{Item: item}}, item.Revision, nil
}

// Refresh confirms the configuration for a request whose key is not known, unless
// that was done a moment ago.
func (k *Keeper) Refresh(ctx context.Context) {
	now := k.Timer.Now()
	k.mu.Lock()
	early := k.refreshed != 0 && now.Sub(k.refreshed) < refreshEvery
	if !early {
		k.refreshed = now
	}
	k.mu.Unlock()
	if early || !k.asking.TryLock() {
		return
	}
	defer k.asking.Unlock()
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	k.note(k.confirm(ctx))
}

// Accept takes the confirmation of another instance that the configuration of a revision
// was current at an instant.
func (k *Keeper) Accept(at timer.Instant, revision uint64) {
	if k.Held() >= revision {
		k.Record.Confirm(at)
	}
}

// note logs when confirmations begin to fail and when they come again.
func (k *Keeper) note(err error) {
	k.mu.Lock()
	was := k.stale
	k.stale = err != nil
	k.mu.Unlock()
	if was == (err != nil) {
		return
	}
	age, _ := k.Record.Age(k.Timer.Now())
	fields := log.Fields{
		"revision": k.Held(),
		"age_ms":   age.Milliseconds(),
	}
	if err != nil {
		k.Journal.Trouble("configuration not confirmed", err, fields)
		return
	}
	k.Journal.Event("configuration confirmed", fields)
}
