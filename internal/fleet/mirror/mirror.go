package mirror

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/kernel/journal"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
)

// Timing of calls and of removals after an outage.
const (
	// watchWait is how long one watch may wait. The service allows 30 s and
	// counts each call. A dead connection is detected sooner, by the keep-alive
	// probes of its socket.
	watchWait = 28 * time.Second
	// watchSlack is how much longer than asked a watch may take, for the links
	// and a slow service.
	watchSlack = 4 * time.Second
	// listTimeout bounds a listing: a slow service takes 50 times its usual 4 ms
	// for each page.
	listTimeout = 3 * time.Second
	// minLapseOutage is the shortest outage after which removals are delayed by
	// RemovalDelay. Entries live for some seconds without a renewal, so none lapse in a
	// shorter one.
	minLapseOutage = 1500 * time.Millisecond
	// inactivePause is the time between two calls of Active while it is false.
	inactivePause = 500 * time.Millisecond
	// minRetryPause and maxRetryPause bound the pause after a failed call. It
	// doubles with each further failure.
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = 500 * time.Millisecond
)

var errOlderListing = errors.New("the listing is older than what is known")

// Mirror follows one prefix of a key-value service.
type Mirror struct {
	Store  keyvalue.TransactionalStore
	Prefix string
	// OnChange is called with the changes below the prefix, in order of their revisions.
	OnChange func([]keyvalue.Change)
	Timer    timer.Service
	Journal  *journal.Journal
	// CoalesceDelay is the time between a watch that returned changes and the next one, in
	// which further changes gather. Each watch that returns is a billed call, and a
	// rollout of weights changes many entries one after the other.
	CoalesceDelay time.Duration
	// RemovalDelay is how long a removal just after an outage is delayed: entries that
	// lapsed while the service was unavailable are written again within about two
	// seconds. Zero removes them at once.
	RemovalDelay time.Duration
	// OnSeen is called with all changes, including removals that RemovalDelay delays, and
	// with the revision up to which all changes are known. It fills a copy that
	// answers other instances. It may be nil.
	OnSeen func(changes []keyvalue.Change, revision uint64)
	// NeedsAll reports whether the next call of OnSeen must hold all items, also those
	// that it was called with before; the prefix is then listed. Nil means never.
	NeedsAll func() bool
	// OnRemovalDelayed is called with the keys whose removal is delayed by RemovalDelay.
	// It may be nil.
	OnRemovalDelayed func(keys []string)
	// RejectOlder rejects listings with an older revision than the last known one. Their missing
	// keys would otherwise count as removed.
	RejectOlder bool
	// Active reports whether to follow the prefix. Nil means always.
	Active func() bool

	// keyRevisions holds the last revision of each key that was passed on.
	keyRevisions map[string]uint64
	revision     uint64
	relist       bool
	outage       bool
	// lostAt is when the last outage began, regainedAt when the last outage of at least
	// minLapseOutage ended.
	lostAt     timer.Instant
	regainedAt timer.Instant
	// removeAt holds the keys whose removal is delayed, and when they are removed.
	removeAt map[string]timer.Instant
	synced   atomic.Bool
}

// Synced reports whether the prefix has been listed.
func (m *Mirror) Synced() bool { return m.synced.Load() }

// Run follows the prefix until t dies.
func (m *Mirror) Run(t *tomb.Tomb) error {
	m.keyRevisions = make(map[string]uint64)
	m.removeAt = make(map[string]timer.Instant)
	ctx := t.Context(context.Background())
	retry := minRetryPause
	for t.Alive() {
		if m.Active != nil && !m.Active() {
			m.relist = true
			timer.Wait(m.Timer, inactivePause, t.Dying())
			continue
		}
		err := m.listOrWatch(ctx, t)
		if !t.Alive() {
			return nil
		}
		m.logOutage(err)
		if err == nil {
			retry = minRetryPause
			continue
		}
		timer.Wait(m.Timer, retry, t.Dying())
		retry = min(2*retry, maxRetryPause)
	}
	return nil
}

// logOutage logs when the service becomes unavailable or available again, and records
// the start of the outage. err is the result of the last call.
func (m *Mirror) logOutage(err error) {
	if m.outage == (err != nil) {
		return
	}
	m.outage = err != nil
	fields := log.Fields{
		"dependency": "key-value service",
		"prefix":     m.Prefix,
		"revision":   m.revision,
	}
	if err == nil {
		m.Journal.Info("dependency regained", fields)
		return
	}
	m.lostAt = m.Timer.Now()
	m.Journal.Warn("dependency lost", err, fields)
}

// listOrWatch makes one call: a listing if one is needed, else a watch.
func (m *Mirror) listOrWatch(ctx context.Context, t *tomb.Tomb) error {
	needsAll := m.NeedsAll != nil && m.NeedsAll()
	if !m.synced.Load() || m.relist || needsAll {
		return m.list(ctx, needsAll)
	}
	wait := watchWait
	if len(m.removeAt) > 0 {
		wait = m.RemovalDelay / 2
	}
	ctx, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	changes, next, err := m.Store.Watch(ctx, m.Prefix, m.revision, wait)
	if errors.Is(err, keyvalue.ErrCompacted) {
		return m.list(ctx, false)
	}
	if err != nil {
		// The connection may have been dead for a while before the watch failed.
		// Only a listing shows the changes of that time.
		m.relist = true
		return err
	}
	m.noteAnswer()
	m.revision = max(m.revision, next)
	m.apply(changes, false)
	m.removeExpired()
	if len(changes) > 0 && m.CoalesceDelay > 0 {
		timer.Wait(m.Timer, m.CoalesceDelay, t.Dying())
	}
	return nil
}

// noteAnswer records that the service answered. If that ends a long outage, it records
// the time.
func (m *Mirror) noteAnswer() {
	now := m.Timer.Now()
	if m.outage && now.Sub(m.lostAt) >= minLapseOutage {
		m.regainedAt = now
	}
}

// list lists the whole prefix, and treats known keys that are missing from it as
// removed. needsAll says that OnSeen needs all items.
func (m *Mirror) list(ctx context.Context, needsAll bool) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	listing, err := m.Store.Range(ctx, m.Prefix, keyvalue.Fresh)
	if err != nil {
		return err
	}
	if m.RejectOlder && listing.Revision < m.revision {
		return errOlderListing
	}
	m.noteAnswer()
	var changes []keyvalue.Change
	present := make(map[string]bool, len(listing.Items))
	for _, item := range listing.Items {
		present[item.Key] = true
		changes = append(changes, keyvalue.Change{
			Item: item,
		})
	}
	for key := range m.keyRevisions {
		if !present[key] {
			changes = append(changes, keyvalue.Change{
				Item: keyvalue.Item{
					Key:      key,
					Revision: max(listing.Revision, m.keyRevisions[key]+1),
				},
				Removed: true,
			})
		}
	}
	m.revision = max(m.revision, listing.Revision)
	m.apply(changes, needsAll)
	m.removeExpired()
	m.relist = false
	m.synced.Store(true)
	return nil
}

// apply passes on the changes that are newer than the known ones, in order of their
// revisions. Removals just after an outage are delayed. If needsAll is set, OnSeen is called
// with the known ones as well.
func (m *Mirror) apply(changes []keyvalue.Change, needsAll bool) {
	var seen, applied []keyvalue.Change
	var delayed []string
	slices.SortStableFunc(changes, func(a, b keyvalue.Change) int { return cmp.Compare(a.Revision, b.Revision) })
	for _, c := range changes {
		known := c.Revision <= m.keyRevisions[c.Key]
		if !strings.HasPrefix(c.Key, m.Prefix) || known && !needsAll {
			continue
		}
		seen = append(seen, c)
		if known {
			continue
		}
		if c.Removed && m.delaysRemovals() {
			if _, waits := m.removeAt[c.Key]; !waits {
				m.removeAt[c.Key] = m.Timer.Now().Add(m.RemovalDelay)
				delayed = append(delayed, c.Key)
			}
			continue
		}
		delete(m.removeAt, c.Key)
		if c.Removed {
			delete(m.keyRevisions, c.Key)
		} else {
			m.keyRevisions[c.Key] = c.Revision
		}
		applied = append(applied, c)
	}
	if m.OnSeen != nil {
		m.OnSeen(seen, m.revision)
	}
	if len(applied) > 0 {
		m.OnChange(applied)
	}
	if len(delayed) > 0 && m.OnRemovalDelayed != nil {
		m.OnRemovalDelayed(delayed)
	}
}

// delaysRemovals reports whether an outage ended a short time ago. Entries that lapsed
// in it would all be removed at once, although their owners are alive and about to
// write them again.
func (m *Mirror) delaysRemovals() bool {
	return m.RemovalDelay > 0 && m.regainedAt != 0 && m.Timer.Now().Sub(m.regainedAt) < m.RemovalDelay
}

// removeExpired removes the keys that were not written again in time.
func (m *Mirror) removeExpired() {
	now := m.Timer.Now()
	var gone []keyvalue.Change
	for key, at := range m.removeAt {
		if now < at {
			continue
		}
		delete(m.removeAt, key)
		delete(m.keyRevisions, key)
		gone = append(gone, keyvalue.Change{
			Item: keyvalue.Item{
				Key:      key,
				Revision: m.revision,
			},
			Removed: true,
		})
	}
	if len(gone) > 0 {
		m.OnChange(gone)
	}
}
