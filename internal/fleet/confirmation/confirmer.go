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
	// checkInterval is the time between checks of the age of the confirmation.
	checkInterval = 500 * time.Millisecond
	// startupCheckInterval is the time between checks before the first confirmation.
	// Until then all requests with keys are refused.
	startupCheckInterval = 150 * time.Millisecond
	// relayConfirmAge is the age of its confirmation at which an instance that relays
	// confirmations confirms again.
	relayConfirmAge = 1200 * time.Millisecond
	// followerConfirmAge is the age at which any other instance confirms by itself. The
	// confirmations that are relayed to it are about two seconds old at most.
	followerConfirmAge = 2500 * time.Millisecond
	// firstConfirmDelay is how long a starting instance waits for a relayed
	// confirmation before it confirms by itself, as all instances may start at the same
	// moment.
	firstConfirmDelay = time.Second
	// confirmTimeout bounds one confirmation.
	confirmTimeout = time.Second
	// minBackoff and maxBackoff bound the pause of a follower after a failed
	// confirmation. Calls are counted even while the service is down.
	minBackoff = time.Second
	maxBackoff = 4 * time.Second
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
	// Apply puts newer configurations in force.
	Apply func([]keyvalue.Change)
	// Needed reports whether anything depends on confirmations.
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
func (k *Confirmer) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	var b backoff
	for timer.Wait(k.Timer, k.checkDelay(), t.Dying()) {
		now := k.Timer.Now()
		if k.due(now) && now >= b.until {
			err := k.Confirm(ctx)
			b = b.next(err, k.Timer.Now(), k.IsRelay())
		}
	}
	return nil
}

// checkDelay returns the time until the next check. It is short before the first
// confirmation if one is or may become needed.
func (k *Confirmer) checkDelay() time.Duration {
	_, confirmed := k.Record.Age(k.Timer.Now())
	if !confirmed && (k.HeldRevision() == 0 || k.Needed()) {
		return startupCheckInterval
	}
	return checkInterval
}

// backoff is the pause after failed confirmations. The zero value is no pause.
type backoff struct {
	delay time.Duration
	until timer.Instant
}

// next returns the pause after a confirmation with the result err. An instance that
// relays confirmations does not pause: the others learn from it that the service is
// back.
func (r backoff) next(err error, now timer.Instant, relays bool) backoff {
	if err == nil || relays {
		return backoff{}
	}
	delay := min(max(minBackoff, 2*r.delay), maxBackoff)
	return backoff{
		delay: delay,
		until: now.Add(delay),
	}
}

// due reports whether this instance should confirm by itself now.
func (k *Confirmer) due(now timer.Instant) bool {
	if !k.Needed() || k.HeldRevision() == 0 {
		return false
	}
	if k.heldSince == 0 {
		k.heldSince = now
	}
	age, ok := k.Record.Age(now)
	switch {
	case !ok && !k.IsRelay():
		return now.Sub(k.heldSince) >= firstConfirmDelay
	case !ok:
		return true
	case k.IsRelay():
		return age >= relayConfirmAge
	}
	return age >= followerConfirmAge
}

// Confirm confirms the configuration with the key-value service now.
func (k *Confirmer) Confirm(ctx context.Context) error {
	k.confirming.Lock()
	defer k.confirming.Unlock()
	err := k.confirmLocked(ctx)
	k.logTransition(err)
	return err
}

// confirmLocked reads the changes since the configuration in force and applies them.
// The confirmation counts from the start of the call, as the answer describes that
// instant or a later one. The caller holds confirming.
func (k *Confirmer) confirmLocked(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	k.checkedRevision = max(k.checkedRevision, k.HeldRevision())
	started := k.Timer.Now()
	changes, checkedRevision, err := k.Source.ChangesSince(ctx, k.Key, k.checkedRevision)
	if errors.Is(err, keyvalue.ErrCompacted) {
		changes, checkedRevision, err = k.readCurrent(ctx)
	}
	if err != nil {
		return err
	}
	if len(changes) > 0 {
		k.Apply(changes)
	}
	for _, c := range changes {
		if c.Key == k.Key && !c.Removed && c.Revision > k.HeldRevision() {
			// A configuration that could not be put in force must not count as current.
			return errNotApplied
		}
	}
	k.checkedRevision = max(k.checkedRevision, checkedRevision)
	k.Record.Confirm(started)
	if k.OnConfirm != nil {
		k.OnConfirm(started, k.HeldRevision())
	}
	return nil
}

var errNotApplied = errors.New("the newest configuration could not be put in force; the log shows the cause")

// readCurrent reads the configuration itself when the service no longer has the
// changes.
func (k *Confirmer) readCurrent(ctx context.Context) ([]keyvalue.Change, uint64, error) {
	item, err := k.Source.Get(ctx, k.Key)
	if err != nil {
		return nil, 0, err
	}
	return []keyvalue.Change{{Item: item}}, item.Revision, nil
}

// Refresh confirms the configuration for a request with an unknown key, unless a
// Refresh did so within minRefreshInterval or a confirmation is in progress.
func (k *Confirmer) Refresh(ctx context.Context) {
	now := k.Timer.Now()
	k.mu.Lock()
	recent := k.lastRefresh != 0 && now.Sub(k.lastRefresh) < minRefreshInterval
	if !recent {
		k.lastRefresh = now
	}
	k.mu.Unlock()
	if recent || !k.confirming.TryLock() {
		return
	}
	defer k.confirming.Unlock()
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	k.logTransition(k.confirmLocked(ctx))
}

// AcceptRemote records the confirmation of another instance that a revision was current at an
// instant. It is ignored if the configuration in force is older than that revision.
func (k *Confirmer) AcceptRemote(at timer.Instant, revision uint64) {
	if k.HeldRevision() >= revision {
		k.Record.Confirm(at)
	}
}

// logTransition logs when confirmations start to fail and when they succeed again.
func (k *Confirmer) logTransition(err error) {
	k.mu.Lock()
	wasFailing := k.failing
	k.failing = err != nil
	k.mu.Unlock()
	if wasFailing == (err != nil) {
		return
	}
	age, _ := k.Record.Age(k.Timer.Now())
	fields := log.Fields{
		"revision": k.HeldRevision(),
		"age_ms":   age.Milliseconds(),
	}
	if err != nil {
		k.Journal.Warn("configuration not confirmed", err, fields)
		return
	}
	k.Journal.Info("configuration confirmed", fields)
}
