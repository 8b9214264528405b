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

// Name is the registry's name for the right to make the calls that one instance makes
// at a time.
const Name = "orders"

// The times of holding.
const (
	// keepEvery is how often the right is looked after.
	keepEvery = 600 * time.Millisecond
	// holdTrust is how long after the last renewal of its lease the holder
	// makes calls. It is shorter than the lease, so that a holder that is cut
	// off stops before another one can begin.
	holdTrust = 1200 * time.Millisecond
	// absence is how long the holder must be missing before another instance
	// takes over. One that is started again goes on at once.
	absence = 1500 * time.Millisecond
	// TurnWait is how long after the one before was seen to be missing a new holder
	// gives its first order. Engines must not hear two holders within three seconds,
	// and a holder whose lease was taken away believes in it for holdTrust at most.
	TurnWait = 3*time.Second + holdTrust
	// holdCall bounds one call.
	holdCall = 900 * time.Millisecond
)

// Presence is what the holder needs to know of instances.
type Presence interface {
	// Lease returns the number of this instance's lease, zero if it has none,
	// and whether it was renewed within the time.
	Lease(within time.Duration) (uint64, bool)
	// Duty returns who was seen to hold a duty last.
	Duty(duty string) string
	// Present reports whether an instance is in the view.
	Present(name string) bool
	// First returns the instance that should take over a duty.
	First() string
	// Synced reports whether the view was read.
	Synced() bool
}

// Holder holds the right to the calls of one instance, or waits for it. The right lies in a
// key without a lease: its holder is whoever it names, as long as that
// instance's own key exists.
type Holder struct {
	Space    keyvalue.Space
	Presence Presence
	Timer    timer.Service
	Journal  *journal.Journal
	// Key is where the holder writes its name, Sign where an instance shows
	// that it lives.
	Key  string
	Sign func(name string) string
	// Name is this instance's. A holder that restarts is the same one.
	Name string

	// mu guards fence, lease and begins, which others read.
	mu     sync.Mutex
	fence  uint64
	lease  uint64
	begins timer.Instant
	holds  atomic.Bool
	gone   departure
	// settled says that the stored value no longer tells of a wait.
	settled bool
}

// departure is what was found of a holder that is missing.
type departure struct {
	holder string
	// revision is that of the right when its holder was found to show no sign of
	// life. As long as it stands the holder can't have taken the right again under
	// another lease, and so gives no order more.
	revision uint64
	// since is when that was found.
	since timer.Instant
}

// waiting is the second word of the stored value while the holder has to wait
// for orders of the one before it. A life of the same instance that starts
// within that time has to wait as well.
const waiting = "waiting"

// valueOf returns the stored value, HolderOf its instance.
func valueOf(name string, settled bool) []byte {
	if settled {
		return []byte(name)
	}
	return []byte(name + " " + waiting)
}

// HolderOf returns the instance that a stored value names, and whether it still
// has to wait.
func HolderOf(value string) (name string, waits bool) {
	name, rest, _ := strings.Cut(value, " ")
	return name, rest == waiting
}

// Run looks after the right until t dies.
func (h *Holder) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	keep := h.Timer.Every(keepEvery)
	defer keep.Close()
	for {
		if err := h.Keep(ctx); err != nil {
			h.Journal.Detail("duty not looked after", log.Fields{
				"error": err.Error(),
			})
		}
		select {
		case <-keep.C:
		case <-t.Dying():
			return nil
		}
	}
}

// Fence returns the fencing token and whether calls may be made now. The token is also
// the revision of Key.
func (h *Holder) Fence() (uint64, bool) {
	lease, fresh := h.Presence.Lease(holdTrust)
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fence, h.fence != 0 && fresh && lease == h.lease && h.Timer.Now() >= h.begins
}

// Holds reports whether this instance is the holder, even if it has to wait.
func (h *Holder) Holds() bool { return h.holds.Load() }

// Keep looks after the right. It is called every keepEvery.
func (h *Holder) Keep(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, holdCall)
	defer cancel()
	lease, fresh := h.Presence.Lease(holdTrust)
	if h.fence != 0 && lease == h.lease && (h.settled || h.Timer.Now() < h.begins) {
		return nil
	}
	if !fresh || !h.Presence.Synced() {
		return nil
	}
	if ok, err := h.candidate(ctx); !ok {
		return err
	}
	return h.acquire(ctx, lease)
}

// candidate reports whether this instance should try for the right: it had it,
// or it comes first and the holder has been missing long enough. All others
// don't ask; each try is a priced call.
func (h *Holder) candidate(ctx context.Context) (bool, error) {
	holder, _ := HolderOf(h.Presence.Duty(Name))
	if holder == h.Name || h.fence != 0 {
		return true, nil
	}
	if h.Presence.First() != h.Name {
		h.gone = departure{}
		return false, nil
	}
	if holder == "" {
		return true, nil
	}
	if h.Presence.Present(holder) {
		h.gone = departure{}
		return false, nil
	}
	if h.gone.holder != holder {
		if err := h.depart(ctx, holder); err != nil {
			return false, err
		}
	}
	return h.gone.holder == holder && h.Timer.Now().Sub(h.gone.since) >= absence, nil
}

// depart notes that a holder is missing, if the service says so as well: a new
// holder's wait for orders of the one before begins then, and not seconds later
// when it takes the right, in which no engine would get the weights of a step.
func (h *Holder) depart(ctx context.Context, holder string) error {
	item, err := h.Space.Get(ctx, h.Key)
	if err != nil {
		return err
	}
	if name, _ := HolderOf(string(item.Value)); name != holder {
		return nil
	}
	_, err = h.Space.Get(ctx, h.Sign(holder))
	if !errors.Is(err, keyvalue.ErrNotFound) {
		return err
	}
	h.gone = departure{
		holder:   holder,
		revision: item.Revision,
		since:    h.Timer.Now(),
	}
	return nil
}

// acquire takes the key if it names nobody, an earlier life of this instance,
// or an instance that shows no sign of life; or renews it after a new lease or
// at the end of the wait.
func (h *Holder) acquire(ctx context.Context, lease uint64) error {
	item, err := h.Space.Get(ctx, h.Key)
	if err != nil && !errors.Is(err, keyvalue.ErrNotFound) {
		return err
	}
	before, waits := HolderOf(string(item.Value))
	if h.fence != 0 && before != h.Name {
		// Another instance has the right. This one waits for its absence like
		// any other before it tries again.
		h.drop(errTaken)
		return nil
	}
	begins := h.wait(before, waits)
	if h.gone.holder == before && h.gone.revision == item.Revision && h.fence == 0 {
		begins = max(h.Timer.Now(), h.gone.since.Add(TurnWait))
	}
	if item.Revision == 0 {
		// The key is never removed: nobody has given an order yet.
		begins = h.Timer.Now()
	}
	settled := h.Timer.Now() >= begins
	tx := keyvalue.Transaction{
		Expects: []keyvalue.Expect{
			{Key: h.Key, Revision: item.Revision},
		},
		Writes: []keyvalue.Write{
			{Key: h.Key, Value: valueOf(h.Name, settled)},
		},
	}
	if before != "" && before != h.Name {
		tx.Expects = append(tx.Expects, keyvalue.Expect{
			Key: h.Sign(before),
		})
	}
	rev, err := h.Space.Commit(ctx, tx)
	if errors.Is(err, keyvalue.ErrConflict) {
		h.drop(err)
		return nil
	}
	if err != nil {
		return err
	}
	h.set(rev, lease, begins)
	h.settled = settled
	h.holds.Store(true)
	h.gone = departure{}
	h.Journal.Event("duty held", log.Fields{
		"fencing": rev,
		"before":  before,
		"wait_ms": max(0, begins.Sub(h.Timer.Now())).Milliseconds(),
	})
	return nil
}

func (h *Holder) set(fence, lease uint64, begins timer.Instant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fence, h.lease, h.begins = fence, lease, begins
}

// wait returns when calls may begin.
func (h *Holder) wait(before string, waits bool) timer.Instant {
	now := h.Timer.Now()
	switch {
	case before != h.Name:
		// Since when that one is missing is not known.
		return now.Add(TurnWait)
	case h.fence != 0:
		// This very life goes on; what it waits for stays the same.
		return max(h.begins, now)
	case waits:
		return now.Add(TurnWait)
	}
	return now
}

var errTaken = errors.New("another instance has taken over the duty")

// drop forgets a right that another instance took over.
func (h *Holder) drop(err error) {
	if h.fence != 0 {
		h.Journal.Trouble("duty lost", err, log.Fields{
			"fencing": h.fence,
		})
	}
	h.set(0, 0, 0)
	h.holds.Store(false)
}
