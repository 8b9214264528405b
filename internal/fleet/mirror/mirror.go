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

// How a mirror follows.
const (
	// watchWait is how long one watch may wait. The service allows 30 s and
	// counts each call; a connection that fell silent is found sooner, by the
	// keep-alive probes of its socket.
	watchWait = 28 * time.Second
	// answerSlack is how much later than asked a watch may end, for links and
	// a slow service.
	answerSlack = 4 * time.Second
	// listTimeout bounds a listing; a slow service takes 50 times its usual
	// 4 ms, for each page.
	listTimeout = 3 * time.Second
	// lapseAfter is how long an outage must last for entries to lapse in it:
	// they live for some seconds without a renewal.
	lapseAfter = 1500 * time.Millisecond
	// inactivePause is how often an inactive mirror looks whether it should
	// follow again.
	inactivePause = 500 * time.Millisecond
	// retryFirst and retryMost bound the pause after a failed call.
	retryFirst = 100 * time.Millisecond
	retryMost  = 500 * time.Millisecond
)

// Mirror follows one prefix.
type Mirror struct {
	Space   keyvalue.Space
	Prefix  string
	Take    func([]keyvalue.Change)
	Timer   timer.Service
	Journal *journal.Journal
	// Pause is how long to gather changes between two watches. Each watch that
	// returns is a priced call, and a rollout of weights changes many entries
	// one after the other.
	Pause time.Duration
	// Settle is how long a key that is missing from a listing after an outage
	// is kept: entries that lapsed while the service was away come back within
	// about two seconds. Zero removes them at once.
	Settle time.Duration
	// Seen hears of each change with the revision up to which all is known, for
	// a copy that others may ask; nil is not called.
	Seen func(changes []keyvalue.Change, revision uint64)
	// Suspect is called with keys that are missing after an outage and are kept
	// for a while; nil is not called.
	Suspect func(keys []string)
	// Active says whether to follow at all; nil means always.
	Active func() bool

	known    map[string]uint64
	revision uint64
	relist   bool
	outage   bool
	lost     timer.Instant
	regained timer.Instant
	missing  map[string]timer.Instant
	synced   atomic.Bool
}

// Synced reports whether a listing has been taken.
func (m *Mirror) Synced() bool { return m.synced.Load() }

// Run follows until t dies.
func (m *Mirror) Run(t *tomb.Tomb) error {
	m.known = make(map[string]uint64)
	m.missing = make(map[string]timer.Instant)
	ctx := t.Context(context.Background())
	retry := retryFirst
	for t.Alive() {
		if m.Active != nil && !m.Active() {
			m.relist = true
			timer.Wait(m.Timer, inactivePause, t.Dying())
			continue
		}
		err := m.round(ctx, t)
		if !t.Alive() {
			return nil
		}
		m.note(err)
		if err == nil {
			retry = retryFirst
			continue
		}
		timer.Wait(m.Timer, retry, t.Dying())
		retry = min(2*retry, retryMost)
	}
	return nil
}

// note logs when the service is lost and regained, and remembers since when it is
// lost.
func (m *Mirror) note(err error) {
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
		m.Journal.Event("dependency regained", fields)
		return
	}
	m.lost = m.Timer.Now()
	m.Journal.Trouble("dependency lost", err, fields)
}

// round does one call: a listing if there is none yet, else a watch.
func (m *Mirror) round(ctx context.Context, t *tomb.Tomb) error {
	if !m.synced.Load() || m.relist {
		return m.list(ctx)
	}
	wait := watchWait
	if len(m.missing) > 0 {
		wait = m.Settle / 2
	}
	ctx, cancel := context.WithTimeout(ctx, wait+answerSlack)
	defer cancel()
	changes, next, err := m.Space.Watch(ctx, m.Prefix, m.revision, wait)
	if errors.Is(err, keyvalue.ErrCompacted) {
		return m.list(ctx)
	}
	if err != nil {
		// A watch that was cut may have been deaf before: only a listing tells
		// what it missed.
		m.relist = true
		return err
	}
	m.hear()
	m.revision = max(m.revision, next)
	m.apply(changes)
	m.expire()
	if len(changes) > 0 && m.Pause > 0 {
		timer.Wait(m.Timer, m.Pause, t.Dying())
	}
	return nil
}

// hear notes that the service answered.
func (m *Mirror) hear() {
	now := m.Timer.Now()
	if m.outage && now.Sub(m.lost) >= lapseAfter {
		m.regained = now
	}
}

// list takes the whole prefix and works out what is gone.
func (m *Mirror) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	listing, err := m.Space.Range(ctx, m.Prefix, keyvalue.Fresh)
	if err != nil {
		return err
	}
	m.hear()
	var changes []keyvalue.Change
	present := make(map[string]bool, len(listing.Items))
	for _, item := range listing.Items {
		present[item.Key] = true
		changes = append(changes, keyvalue.Change{
			Item: item,
		})
	}
	for key := range m.known {
		if !present[key] {
			changes = append(changes, keyvalue.Change{
				Item: keyvalue.Item{
					Key:      key,
					Revision: max(listing.Revision, m.known[key]+1),
				},
				Removed: true,
			})
		}
	}
	m.revision = max(m.revision, listing.Revision)
	m.apply(changes)
	m.expire()
	m.relist = false
	m.synced.Store(true)
	return nil
}

// apply takes the changes that are news, in order of their revisions. A removal
// just after an outage is put off.
func (m *Mirror) apply(changes []keyvalue.Change) {
	var seen, news []keyvalue.Change
	var suspects []string
	slices.SortStableFunc(changes, func(a, b keyvalue.Change) int { return cmp.Compare(a.Revision, b.Revision) })
	for _, c := range changes {
		if !strings.HasPrefix(c.Key, m.Prefix) || c.Revision <= m.known[c.Key] {
			continue
		}
		seen = append(seen, c)
		if c.Removed && m.settling() {
			if _, waits := m.missing[c.Key]; !waits {
				m.missing[c.Key] = m.Timer.Now().Add(m.Settle)
				suspects = append(suspects, c.Key)
			}
			continue
		}
		delete(m.missing, c.Key)
		if c.Removed {
			delete(m.known, c.Key)
		} else {
			m.known[c.Key] = c.Revision
		}
		news = append(news, c)
	}
	if m.Seen != nil {
		m.Seen(seen, m.revision)
	}
	if len(news) > 0 {
		m.Take(news)
	}
	if len(suspects) > 0 && m.Suspect != nil {
		m.Suspect(suspects)
	}
}

// settling reports whether a removal may only tell of an outage: entries that
// lapsed meanwhile would all be dropped at once, though their owners are well
// and about to write them again.
func (m *Mirror) settling() bool {
	return m.Settle > 0 && m.regained != 0 && m.Timer.Now().Sub(m.regained) < m.Settle
}

// expire removes the keys that did not come back in time.
func (m *Mirror) expire() {
	now := m.Timer.Now()
	var gone []keyvalue.Change
	for key, at := range m.missing {
		if now < at {
			continue
		}
		delete(m.missing, key)
		delete(m.known, key)
		gone = append(gone, keyvalue.Change{
			Item: keyvalue.Item{
				Key:      key,
				Revision: m.revision,
			},
			Removed: true,
		})
	}
	if len(gone) > 0 {
		m.Take(gone)
	}
}
