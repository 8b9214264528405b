package duty

import (
	"context"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/kernel/journal"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
)

// Orders is the registry name of the duty to make the calls that only one instance may
// make at a time.
const Orders = "orders"

// Intervals and timeouts of the election.
const (
	// keepInterval is the time between two calls of Maintain.
	keepInterval = 600 * time.Millisecond
	// maxLeaseAge is how long after the last renewal of its lease the calls of the holder
	// may last. It is shorter than the lease, so that a holder that has lost its
	// connection stops before another one can start.
	maxLeaseAge = 1200 * time.Millisecond
	// networkDelay is the longest time that bytes are expected to be under way to their
	// receiver. Regions are up to 120 ms apart.
	networkDelay = 200 * time.Millisecond
	// minCallTime is the shortest time that a call is begun with. It covers the
	// networkDelay of a call that is written last.
	minCallTime = networkDelay
	// DeliveryTimeout is the TCP_USER_TIMEOUT of connections while they carry a call. It is
	// how long the kernel may retain the bytes of a call if its instance is paused just
	// after it has written them. Two regions 120 ms apart still get one lost packet
	// repeated in time.
	DeliveryTimeout = 500 * time.Millisecond
	// takeoverDelay is how long the holder must be missing before another instance
	// takes over. A holder that restarts continues without this delay.
	takeoverDelay = 1500 * time.Millisecond
	// returnWait is how long after its last call an instance makes no calls as a new holder.
	// Engines and the platform must not get calls from holders that take turns within three
	// seconds.
	returnWait = 3 * time.Second
	// HandoverWait is the time between the detection that the previous holder is missing
	// and the first call of the new one. A holder whose lease was revoked relies on it for
	// another maxLeaseAge at most, and its last call arrives within DeliveryTimeout after
	// that. The package's documentation has the arithmetic.
	HandoverWait = maxLeaseAge + DeliveryTimeout
	// keepTimeout is the time limit of one call of Maintain.
	keepTimeout = 900 * time.Millisecond
)

// Presence is the view of the instances that the election uses.
type Presence interface {
	// LeaseRenewed returns the ID of this instance's lease and the instant before its last
	// successful renewal, and whether there is one.
	LeaseRenewed() (lease uint64, at timer.Instant, ok bool)
	// DutyValue returns the last value read from the key of a duty. ParseValue parses it.
	DutyValue(duty string) string
	// Present reports whether the view contains an instance.
	Present(name string) bool
	// FirstEligible returns the instance that is next to take over a duty.
	FirstEligible() string
	// Synced reports whether the view has been read from the key-value service.
	Synced() bool
}

// Holder takes part in the election on behalf of one instance. The duty's key has no
// lease: the instance that the key names is the holder as long as that instance's own
// key exists.
type Holder struct {
	Store    keyvalue.TransactionalStore
	Presence Presence
	Timer    timer.Service
	Journal  *journal.Journal
	// Key is the duty's key, to which the holder writes its name. InstanceKey returns
	// the key that exists as long as an instance is alive.
	Key         string
	InstanceKey func(name string) string
	// Name is the name of this instance. It stays the same over a restart, so a
	// holder that restarts is still the holder.
	Name string

	// mu guards the fields up to callsUntil, which other goroutines read.
	mu        sync.Mutex
	fence     uint64
	lease     uint64
	callsFrom timer.Instant
	// waitOver says that the stored value no longer has the waiting mark. No calls are
	// made before: removing the mark changes the fencing token.
	waitOver bool
	// calls is the number of calls in progress, and callsUntil the time after which no
	// call that was begun so far can arrive.
	calls      int
	callsUntil timer.Instant
	// startedAt is when this process first took part in the election. Before, an earlier
	// process of the same instance may have made calls.
	startedAt timer.Instant
	holds     atomic.Bool
	// missing is the holder that was found to be missing, if any.
	missing missingHolder
}

// missingHolder records when a holder was found to be missing.
type missingHolder struct {
	holder string
	// revision is the revision of the duty's key when the holder's own key was
	// found to be gone. While it is unchanged, the holder cannot have acquired the
	// duty again under another lease, and gives no more orders.
	revision uint64
	// since is the time of detection.
	since timer.Instant
}

// waitingMark is the second word of the stored value while the holder still has to
// wait out the orders of its predecessor. If the holder restarts within that time, it
// has to wait as well.
const waitingMark = "waiting"

// encodeValue returns the value to store for a holder. ParseValue parses it.
func encodeValue(name string, waitOver bool) []byte {
	if waitOver {
		return []byte(name)
	}
	return []byte(name + " " + waitingMark)
}

// ParseValue returns the instance named by a stored value, and whether that instance
// still has to wait before it makes calls.
func ParseValue(value string) (name string, waiting bool) {
	name, rest, _ := strings.Cut(value, " ")
	return name, rest == waitingMark
}

// Run takes part in the election until t dies.
func (h *Holder) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	ticker := h.Timer.Every(keepInterval)
	defer ticker.Close()
	for {
		if err := h.Maintain(ctx); err != nil {
			h.Journal.Debug("checking or acquiring the duty failed", log.Fields{
				"error": err.Error(),
			})
		}
		if !h.waitForMaintain(t, ticker) {
			return nil
		}
	}
}

// waitForMaintain waits until the next call of Maintain is due: at each tick, and at the end
// of the wait of a new holder. It reports false if t dies.
func (h *Holder) waitForMaintain(t *tomb.Tomb, ticker *timer.Subscription) bool {
	var waitEnd <-chan timer.Instant
	h.mu.Lock()
	if now := h.Timer.Now(); h.fence != 0 && !h.waitOver && h.callsFrom > now {
		once := h.Timer.Once(h.callsFrom.Sub(now))
		defer once.Close()
		waitEnd = once.C
	}
	h.mu.Unlock()
	select {
	case <-ticker.C:
	case <-waitEnd:
	case <-t.Dying():
		return false
	}
	return true
}

// FencingToken returns the fencing token, which is the revision of Key, and whether this
// instance may make calls now.
func (h *Holder) FencingToken() (uint64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fence, h.timeLeft() >= minCallTime
}

// timeLeft returns the time until the permission of this instance to make calls ends, or 0 if
// it has none. The caller holds h.mu.
func (h *Holder) timeLeft() time.Duration {
	lease, renewed, ok := h.Presence.LeaseRenewed()
	now := h.Timer.Now()
	if !ok || h.fence == 0 || lease != h.lease || !h.waitOver || now < h.callsFrom {
		return 0
	}
	return max(0, renewed.Add(maxLeaseAge).Sub(now))
}

// leaseFresh returns the ID of this instance's lease, and whether it was renewed less than
// maxLeaseAge ago.
func (h *Holder) leaseFresh() (uint64, bool) {
	lease, renewed, ok := h.Presence.LeaseRenewed()
	return lease, ok && h.Timer.Now().Sub(renewed) < maxLeaseAge
}

// Holds reports whether this instance is the holder, even if it still has to wait
// before it makes calls.
func (h *Holder) Holds() bool { return h.holds.Load() }

// Maintain acquires the duty if this instance should hold it, and renews it after a change
// of lease or at the end of the wait. Run calls it every keepInterval.
func (h *Holder) Maintain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	h.mu.Lock()
	if h.startedAt == 0 {
		h.startedAt = h.Timer.Now()
	}
	h.mu.Unlock()
	lease, fresh := h.leaseFresh()
	if h.fence != 0 && lease == h.lease && (h.waitOver || h.Timer.Now() < h.callsFrom) {
		return nil
	}
	if !fresh || !h.Presence.Synced() {
		return nil
	}
	if ok, err := h.shouldAcquire(ctx); !ok {
		return err
	}
	return h.acquire(ctx, lease)
}

// shouldAcquire reports whether this instance should try to acquire the duty: it held
// the duty before, or it is next in line and there is no holder or the holder has been
// missing for takeoverDelay. Other instances don't try, since each try is a billed call.
func (h *Holder) shouldAcquire(ctx context.Context) (bool, error) {
	holder, _ := ParseValue(h.Presence.DutyValue(Orders))
	if holder == h.Name || h.fence != 0 {
		return true, nil
	}
	if h.Presence.FirstEligible() != h.Name {
		h.missing = missingHolder{}
		return false, nil
	}
	if holder == "" {
		return true, nil
	}
	if h.Presence.Present(holder) {
		h.missing = missingHolder{}
		return false, nil
	}
	if h.missing.holder != holder {
		if err := h.recordMissing(ctx, holder); err != nil {
			return false, err
		}
	}
	return h.missing.holder == holder && h.Timer.Now().Sub(h.missing.since) >= takeoverDelay, nil
}

// recordMissing records that a holder is missing, if the key-value service confirms it.
// The wait of the new holder for orders of its predecessor counts from this moment. If
// it counted from the acquisition seconds later, no engine would get the weights of a
// step in the meantime.
func (h *Holder) recordMissing(ctx context.Context, holder string) error {
	item, err := h.Store.Get(ctx, h.Key)
	if err != nil {
		return err
	}
	if name, _ := ParseValue(string(item.Value)); name != holder {
		return nil
	}
	_, err = h.Store.Get(ctx, h.InstanceKey(holder))
	if !errors.Is(err, keyvalue.ErrNotFound) {
		return err
	}
	h.missing = missingHolder{
		holder:   holder,
		revision: item.Revision,
		since:    h.Timer.Now(),
	}
	return nil
}

// acquire writes this instance to the duty's key if the key names nobody, this instance
// itself (before a restart, under an earlier lease or with the waiting mark), or an
// instance whose own key is gone.
func (h *Holder) acquire(ctx context.Context, lease uint64) error {
	item, err := h.Store.Get(ctx, h.Key)
	if err != nil && !errors.Is(err, keyvalue.ErrNotFound) {
		return err
	}
	previous, waiting := ParseValue(string(item.Value))
	if h.fence != 0 && previous != h.Name {
		// Another instance is the holder. This one tries again only once that
		// instance is missing, like any other.
		h.markLost(errTakenOver)
		return nil
	}
	callsFrom := h.firstCallTime(previous, waiting)
	detected := h.missing.holder == previous && h.missing.revision == item.Revision && h.fence == 0
	if detected {
		callsFrom = max(h.Timer.Now(), h.missing.since.Add(HandoverWait))
	}
	if previous != h.Name || waiting {
		callsFrom = max(callsFrom, h.lastOwnCall().Add(returnWait))
	}
	if item.Revision == 0 {
		// The key is never removed, so nobody has held the duty or given an order yet.
		callsFrom = h.Timer.Now()
	}
	waitOver := h.Timer.Now() >= callsFrom
	tx := keyvalue.Transaction{
		Expects: []keyvalue.Condition{
			{Key: h.Key, Revision: item.Revision},
		},
		Writes: []keyvalue.Write{
			{Key: h.Key, Value: encodeValue(h.Name, waitOver)},
		},
	}
	if previous != "" && previous != h.Name {
		tx.Expects = append(tx.Expects, keyvalue.Condition{
			Key: h.InstanceKey(previous),
		})
	}
	rev, err := h.Store.Commit(ctx, tx)
	if errors.Is(err, keyvalue.ErrConflict) {
		h.markLost(err)
		return nil
	}
	if err != nil {
		return err
	}
	if previous != "" && previous != h.Name && !detected {
		// The previous holder may have been alive until the commit.
		callsFrom = max(callsFrom, h.Timer.Now().Add(HandoverWait))
	}
	h.set(rev, lease, callsFrom, waitOver)
	h.holds.Store(true)
	h.missing = missingHolder{}
	h.Journal.Info("duty held", log.Fields{
		"fencing": rev,
		"before":  previous,
		"wait_ms": max(0, callsFrom.Sub(h.Timer.Now())).Milliseconds(),
	})
	return nil
}

// set stores the values that FencingToken reads. Calls under the new fencing token wait
// until none under an earlier one can arrive any more.
func (h *Holder) set(fence, lease uint64, callsFrom timer.Instant, waitOver bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if fence != 0 {
		callsFrom = max(callsFrom, h.callsUntil)
	}
	h.fence, h.lease, h.callsFrom, h.waitOver = fence, lease, callsFrom, waitOver
}

// lastOwnCall returns the time after which no call arrives that this instance made as an earlier
// holder.
func (h *Holder) lastOwnCall() timer.Instant {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(h.startedAt, h.callsUntil)
}

// firstCallTime returns the time from which this instance may make calls, given the
// previous holder and whether that one was still waiting.
func (h *Holder) firstCallTime(previous string, waiting bool) timer.Instant {
	now := h.Timer.Now()
	switch {
	case previous != h.Name:
		// It is not known how long the previous holder has been missing.
		return now.Add(HandoverWait)
	case h.fence != 0:
		// This instance has held the duty since it started: its wait is unchanged.
		return max(h.callsFrom, now)
	case waiting:
		return now.Add(HandoverWait)
	}
	return now
}

var errTakenOver = errors.New("another instance has taken over the duty")

// markLost resets the state after another instance took over the duty.
func (h *Holder) markLost(err error) {
	if h.fence != 0 {
		h.Journal.Warn("duty lost", err, log.Fields{
			"fencing": h.fence,
		})
	}
	h.set(0, 0, 0, false)
	h.holds.Store(false)
}
