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

// Timing of confirmations.
const (
	// checkInterval and minCheckInterval bound the time between checks of the age of the
	// confirmation.
	checkInterval    = 500 * time.Millisecond
	minCheckInterval = 50 * time.Millisecond
	// overdueCheckInterval is the time between checks while confirmations fail.
	overdueCheckInterval = 300 * time.Millisecond
	// startupCheckInterval is the time between checks before the first confirmation.
	// Until then all requests with keys are refused.
	startupCheckInterval = 150 * time.Millisecond
	// relayAgeShare is the share of Confirmer.Bound that the last confirmation may be old at an
	// instance that relays confirmations, before it confirms again.
	relayAgeShare = 0.35
	// followerAgeShare is the share at any other instance. It gets newer confirmations from an
	// instance that relays them, and confirms by itself if that fails; the rest of the bound is
	// for its call.
	followerAgeShare = 0.7
	// defaultBound is used while Confirmer.Bound is zero.
	defaultBound = 2 * time.Second
	// firstConfirmDelay is how long a starting instance waits for a relayed
	// confirmation before it confirms by itself, as all instances may start at the same
	// moment.
	firstConfirmDelay = time.Second
	// confirmTimeout bounds one confirmation, and changesTimeout reading the changes in it.
	confirmTimeout = time.Second
	changesTimeout = 450 * time.Millisecond
	// minBackoff is the shortest pause of a follower after a failed confirmation; the longest is
	// Confirmer.Bound. Calls are counted even while the service is down.
	minBackoff = time.Second
	// minRefreshInterval is the minimum time between confirmations caused by requests
	// with unknown keys. Without it a flood of such requests would flood the key-value
	// service.
	minRefreshInterval = 2 * time.Second
	// refreshTimeout bounds the time that such a request waits.
	refreshTimeout = 300 * time.Millisecond
)

// Source reads from the key-value service without waiting for changes.
type Source interface {
	// ChangesSince returns the changes below prefix after a revision, and the revision up to
	// which they are complete.
	ChangesSince(ctx context.Context, prefix string, after uint64) ([]keyvalue.Change, uint64, error)
	Get(ctx context.Context, key string) (keyvalue.Item, error)
}

// Confirmer keeps a Record up to date: it confirms regularly that the configuration in
// force is the newest one.
type Confirmer struct {
	Record *Record
	Source Source
	// Key is the key of the configuration in the key-value service.
	Key string
	// HeldRevision returns the revision of the configuration in force.
	HeldRevision func() uint64
	// Bound is the time within which a configuration must be in force after it was accepted;
	// zero means 2 s.
	Bound time.Duration
	// Apply puts newer configurations in force.
	Apply func([]keyvalue.Change)
	// Needed reports whether anything depends on confirmations. Nil means that it always does.
	Needed func() bool
	// IsRelay reports whether other instances get their confirmations from this one.
	IsRelay func() bool
	// OnConfirm is called after each confirmation with its instant and the confirmed
	// revision. It may be nil.
	OnConfirm func(at timer.Instant, revision uint64)
	Timer     timer.Service
	Journal   *journal.Journal

	// confirming is held during a confirmation. It guards checkedRevision, the revision
	// up to which changes have been read.
	confirming      sync.Mutex
	checkedRevision uint64

	// heldSince is when Run first found a configuration that has to be confirmed.
	heldSince timer.Instant

	mu sync.Mutex
	// lastRefresh is when Refresh last started a confirmation.
	lastRefresh timer.Instant
	// failing is whether the last confirmation failed.
	failing bool
}

// Run keeps the configuration confirmed until t dies.
func (c *Confirmer) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	var b backoff
	for timer.Wait(c.Timer, c.checkDelay(), t.Dying()) {
		now := c.Timer.Now()
		if c.due(now) && now >= b.until {
			err := c.Confirm(ctx)
			b = b.next(err, c.Timer.Now(), c.IsRelay(), c.ChangeBound())
		}
	}
	return nil
}

// needed reports whether anything depends on confirmations.
func (c *Confirmer) needed() bool { return c.Needed == nil || c.Needed() }

// ChangeBound returns Bound or its default.
func (c *Confirmer) ChangeBound() time.Duration {
	if c.Bound == 0 {
		return defaultBound
	}
	return c.Bound
}

// dueAge returns the age of the last confirmation at which this instance confirms by itself.
func (c *Confirmer) dueAge() time.Duration {
	share := followerAgeShare
	if c.IsRelay() {
		share = relayAgeShare
	}
	return time.Duration(share * float64(c.ChangeBound()))
}

// checkDelay returns the time until the next check. It is short before the first
// confirmation if one is or may become needed.
func (c *Confirmer) checkDelay() time.Duration {
	age, confirmed := c.Record.Age(c.Timer.Now())
	switch {
	case !confirmed && (c.HeldRevision() == 0 || c.needed()):
		return startupCheckInterval
	case !c.needed():
		return checkInterval
	}
	left := c.dueAge() - age
	if left <= 0 {
		return overdueCheckInterval
	}
	return max(minCheckInterval, min(checkInterval, left))
}

// backoff is the pause after failed confirmations. The zero value is no pause.
type backoff struct {
	delay time.Duration
	until timer.Instant
}

// next returns the pause after a confirmation with the result err. An instance that
// relays confirmations does not pause: the others learn from it that the service is
// back.
func (b backoff) next(err error, now timer.Instant, relays bool, longest time.Duration) backoff {
	if err == nil || relays {
		return backoff{}
	}
	delay := min(max(minBackoff, 2*b.delay), max(minBackoff, longest))
	return backoff{
		delay: delay,
		until: now.Add(delay),
	}
}

// due reports whether this instance should confirm by itself now.
func (c *Confirmer) due(now timer.Instant) bool {
	if !c.needed() || c.HeldRevision() == 0 {
		return false
	}
	if c.heldSince == 0 {
		c.heldSince = now
	}
	age, ok := c.Record.Age(now)
	switch {
	case !ok && !c.IsRelay():
		return now.Sub(c.heldSince) >= firstConfirmDelay
	case !ok:
		return true
	}
	return age >= c.dueAge()
}

// Confirm confirms the configuration with the key-value service now.
func (c *Confirmer) Confirm(ctx context.Context) error {
	c.confirming.Lock()
	defer c.confirming.Unlock()
	err := c.confirmLocked(ctx)
	c.logTransition(err)
	return err
}

// confirmLocked reads the changes since the configuration in force and applies them.
// The confirmation counts from the start of the call, as the answer describes that
// instant or a later one. The caller holds confirming.
func (c *Confirmer) confirmLocked(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	c.checkedRevision = max(c.checkedRevision, c.HeldRevision())
	started := c.Timer.Now()
	changes, checkedRevision, err := c.readChanges(ctx)
	if err != nil {
		// Reading the item depends neither on the history of the service nor on its watches.
		var readErr error
		if changes, checkedRevision, readErr = c.readCurrent(ctx); readErr != nil {
			return errors.Join(err, readErr)
		}
	}
	if len(changes) > 0 {
		c.Apply(changes)
	}
	for _, change := range changes {
		if change.Key == c.Key && !change.Removed && change.Revision > c.HeldRevision() {
			// A configuration that could not be put in force must not count as current.
			return errNotApplied
		}
	}
	c.checkedRevision = max(c.checkedRevision, checkedRevision)
	c.Record.Confirm(started)
	if c.OnConfirm != nil {
		c.OnConfirm(started, c.HeldRevision())
	}
	return nil
}

var errNotApplied = errors.New("the newest configuration could not be put in force; the log shows the cause")

// readChanges reads the changes since the last confirmation. They take much less than the
// configuration itself.
func (c *Confirmer) readChanges(ctx context.Context) ([]keyvalue.Change, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, changesTimeout)
	defer cancel()
	return c.Source.ChangesSince(ctx, c.Key, c.checkedRevision)
}

// readCurrent reads the configuration itself when the service no longer has the
// changes, or does not return them in time.
func (c *Confirmer) readCurrent(ctx context.Context) ([]keyvalue.Change, uint64, error) {
	item, err := c.Source.Get(ctx, c.Key)
	if err != nil {
		return nil, 0, err
	}
	if item.Revision <= c.HeldRevision() {
		return nil, item.Revision, nil
	}
	return []keyvalue.Change{{Item: item}}, item.Revision, nil
}

// Refresh confirms the configuration for a request with an unknown key, unless a
// Refresh did so within minRefreshInterval or a confirmation is in progress.
func (c *Confirmer) Refresh(ctx context.Context) {
	now := c.Timer.Now()
	c.mu.Lock()
	recent := c.lastRefresh != 0 && now.Sub(c.lastRefresh) < minRefreshInterval
	if !recent {
		c.lastRefresh = now
	}
	c.mu.Unlock()
	if recent || !c.confirming.TryLock() {
		return
	}
	defer c.confirming.Unlock()
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	c.logTransition(c.confirmLocked(ctx))
}

// AcceptRemote records the confirmation of another instance that a revision was current at an
// instant. It is ignored if the configuration in force is older than that revision.
func (c *Confirmer) AcceptRemote(at timer.Instant, revision uint64) {
	if c.HeldRevision() >= revision {
		c.Record.Confirm(at)
	}
}

// logTransition logs when confirmations start to fail and when they succeed again.
func (c *Confirmer) logTransition(err error) {
	c.mu.Lock()
	wasFailing := c.failing
	c.failing = err != nil
	c.mu.Unlock()
	if wasFailing == (err != nil) {
		return
	}
	age, _ := c.Record.Age(c.Timer.Now())
	fields := log.Fields{
		"revision": c.HeldRevision(),
		"age_ms":   age.Milliseconds(),
	}
	if err != nil {
		c.Journal.Warn("configuration not confirmed", err, fields)
		return
	}
	c.Journal.Info("configuration confirmed", fields)
}
