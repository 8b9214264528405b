package weights

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/egretbend/egretbend/internal/kernel/journal"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
)

// Duty is the registry's name for the right to give orders.
const Duty = "orders"

// The times of holding.
const (
	// holdTTL is the lease of the holder.
	holdTTL = 2 * time.Second
	// holdRenew is how often it is renewed.
	holdRenew = 600 * time.Millisecond
	// holdTrust is how long after a renewal the holder believes in its lease.
	// It is shorter than the lease, so that a holder that is cut off stops
	// before another one can begin.
	holdTrust = 1200 * time.Millisecond
	// holdCall bounds one call.
	holdCall = 900 * time.Millisecond
	// TurnWait is how long a new holder waits for orders of the one before: as
	// long as that one may still believe in a lease that was taken away, and
	// the three seconds in which engines must not hear two holders.
	TurnWait = holdTrust + 3200*time.Millisecond
)

// Holder holds the right to give orders, or waits for it.
type Holder struct {
	Space   keyvalue.Space
	Timer   timer.Service
	Journal *journal.Journal
	// Key is where the holder writes its name.
	Key string
	// Name is this instance's. A holder that restarts is the same one.
	Name string
	// Candidate reports whether this instance should try for the right. Each
	// try is a priced call; if all instances tried all the time, that would be
	// most of what the fleet asks.
	Candidate func() bool

	lease  uint64
	holds  atomic.Bool
	fence  uint64
	sure   timer.Instant
	begins timer.Instant
	seen   string
}

// Fence returns the fencing token and whether orders may be given now.
func (h *Holder) Fence() (uint64, bool) {
	now := h.Timer.Now()
	return h.fence, h.fence != 0 && now >= h.begins && now.Sub(h.sure) < holdTrust
}

// Holds reports whether this instance is the holder, even if it has to wait.
func (h *Holder) Holds() bool { return h.holds.Load() }

// Keep renews the lease or tries to get it. It is called about every
// holdRenew.
func (h *Holder) Keep(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, holdCall)
	defer cancel()
	if h.fence != 0 {
		return h.renew(ctx)
	}
	if !h.Candidate() {
		return nil
	}
	return h.acquire(ctx)
}

func (h *Holder) renew(ctx context.Context) error {
	asked := h.Timer.Now()
	err := h.Space.KeepAlive(ctx, h.lease)
	if errors.Is(err, keyvalue.ErrLeaseGone) {
		h.Journal.Trouble("order lease lost", err, log.Fields{
			"fencing": h.fence,
		})
		h.lease, h.fence = 0, 0
		h.holds.Store(false)
		return nil
	}
	if err == nil {
		h.sure = asked
	}
	return err
}

// acquire takes the key if nobody holds it, or if an earlier life of this
// instance does.
func (h *Holder) acquire(ctx context.Context) error {
	item, err := h.Space.Get(ctx, h.Key)
	if err != nil && !errors.Is(err, keyvalue.ErrNotFound) {
		return err
	}
	own := string(item.Value) == h.Name
	if item.Revision != 0 && !own {
		return nil
	}
	if h.lease == 0 {
		if h.lease, err = h.Space.Grant(ctx, holdTTL); err != nil {
			h.lease = 0
			return err
		}
	}
	asked := h.Timer.Now()
	rev, err := h.Space.Commit(ctx, keyvalue.Transaction{
		Expects: []keyvalue.Expect{
			{Key: h.Key, Revision: item.Revision},
		},
		Writes: []keyvalue.Write{
			{Key: h.Key, Value: []byte(h.Name), Lease: h.lease},
		},
	})
	if errors.Is(err, keyvalue.ErrConflict) {
		return nil
	}
	if err != nil {
		// The lease is given up: whether the key hangs on it is not known, and
		// it ends by itself.
		h.lease = 0
		return err
	}
	h.fence = rev
	h.holds.Store(true)
	h.sure = asked
	h.begins = h.Timer.Now()
	if !own {
		h.begins = h.begins.Add(TurnWait)
	}
	h.Journal.Event("order lease held", log.Fields{
		"fencing": rev,
		"again":   own,
		"wait_ms": h.begins.Sub(h.Timer.Now()).Milliseconds(),
	})
	return nil
}

// Release gives the right back.
func (h *Holder) Release(ctx context.Context) error {
	if h.fence == 0 {
		return nil
	}
	lease := h.lease
	h.lease, h.fence = 0, 0
	h.holds.Store(false)
	return h.Space.Revoke(ctx, lease)
}
