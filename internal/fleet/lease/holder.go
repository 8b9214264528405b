package lease

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

// Durations of a lease and of the calls for it.
const (
	// TTL is the time after which a lease expires unless it is renewed.
	TTL = 6 * time.Second
	// renewPeriod is the time between two renewals. Two in a row may fail before the
	// lease counts as ended, TTL less expiryMargin after the last one that succeeded.
	renewPeriod = 1500 * time.Millisecond
	// expiryMargin is how long before its expiry a lease is no longer used. It
	// allows for clocks that run at different rates and for an order that is
	// being sent when the lease expires.
	expiryMargin = time.Second
	// callTimeout bounds one call of the key-value service.
	callTimeout = time.Second
)

// Holder acquires one lease and keeps it for as long as this instance is a
// candidate for it.
type Holder struct {
	Store   keyvalue.Store
	Timer   timer.Service
	Journal *journal.Journal
	// Key is the key that the name of the lease holder is stored under.
	Key string
	// Self is the name of this instance.
	Self string
	// Candidate reports whether this instance should try to hold the lease.
	Candidate func() bool

	mu sync.Mutex
	// leaseID is the lease of the key-value service, or zero if none is held.
	leaseID uint64
	// fencingNumber is the revision of the write of Key under the lease.
	fencingNumber uint64
	validUntil    timer.Instant
	// lastNumber is the last fencing number held, also after the lease was lost.
	lastNumber uint64
}

// Held returns the fencing number and true while the lease is held at now. The
// number of a later holder is always higher.
func (h *Holder) Held(now timer.Instant) (uint64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.fencingNumber == 0 || now >= h.validUntil {
		return 0, false
	}
	return h.fencingNumber, true
}

// LastFencingNumber returns the last fencing number that this instance held, or zero if it
// never held the lease.
func (h *Holder) LastFencingNumber() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastNumber
}

// Run acquires and renews the lease until t dies, and then releases it.
func (h *Holder) Run(t *tomb.Tomb) error {
	tick := h.Timer.Every(renewPeriod)
	defer tick.Close()
	for {
		h.Step(t.Context(context.Background()))
		select {
		case <-tick.C:
		case <-t.Dying():
			h.release()
			return nil
		}
	}
}

// Step renews the lease, or tries to acquire it. It releases the lease if this
// instance is no longer a candidate.
func (h *Holder) Step(ctx context.Context) {
	h.mu.Lock()
	leaseID := h.leaseID
	h.mu.Unlock()
	if !h.Candidate() {
		if leaseID != 0 {
			h.release()
		}
		return
	}
	if leaseID != 0 {
		h.renew(ctx, leaseID)
		return
	}
	h.acquire(ctx)
}

// renew extends the lease, or gives it up if it is gone.
func (h *Holder) renew(ctx context.Context, leaseID uint64) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	requested := h.Timer.Now()
	err := h.Store.KeepAlive(ctx, leaseID)
	if errors.Is(err, keyvalue.ErrLeaseGone) {
		h.recordLoss()
		return
	}
	if err != nil {
		// The service is down or slow. The lease expires by itself; until then
		// no other instance can acquire it.
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leaseID == leaseID {
		h.validUntil = requested.Add(TTL - expiryMargin)
	}
}

// acquire requests a lease and stores the name of this instance under it, unless
// there is a holder. If the answer to the write is lost, the item is read back:
// the write was done if the item is under this lease, and the fencing number is
// then the revision of the item.
func (h *Holder) acquire(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	if item, err := h.Store.Get(ctx, h.Key); err == nil && item.Revision > 0 {
		return
	} else if err != nil && !errors.Is(err, keyvalue.ErrNotFound) {
		return
	}
	requested := h.Timer.Now()
	leaseID, err := h.Store.Grant(ctx, TTL)
	if err != nil {
		return
	}
	fencingNumber, err := h.Store.Put(ctx, h.Key, []byte(h.Self), 0, leaseID)
	if errors.Is(err, keyvalue.ErrOutcomeUnknown) {
		fencingNumber, err = h.confirmPut(ctx, leaseID)
	}
	if err != nil {
		_ = h.Store.Revoke(ctx, leaseID)
		return
	}
	h.mu.Lock()
	h.leaseID = leaseID
	h.fencingNumber = fencingNumber
	h.lastNumber = fencingNumber
	h.validUntil = requested.Add(TTL - expiryMargin)
	h.mu.Unlock()
	h.Journal.Decision("lease_taken", log.Fields{
		"key":            h.Key,
		"fencing_number": fencingNumber,
		"reason":         "no_holder",
	})
}

// confirmPut returns the revision of the item at Key if it was written under
// leaseID, and ErrConflict if it was not.
func (h *Holder) confirmPut(ctx context.Context, leaseID uint64) (uint64, error) {
	item, err := h.Store.Get(ctx, h.Key)
	if err != nil {
		return 0, err
	}
	if item.Lease != leaseID {
		return 0, keyvalue.ErrConflict
	}
	return item.Revision, nil
}

// recordLoss gives up the lease after the service reported that it is gone.
func (h *Holder) recordLoss() {
	h.mu.Lock()
	fencingNumber := h.fencingNumber
	h.leaseID, h.fencingNumber = 0, 0
	h.mu.Unlock()
	h.Journal.Info("lease_lost", log.Fields{
		"key":            h.Key,
		"fencing_number": fencingNumber,
	})
}

// release revokes the lease, so that the next holder need not wait for its
// expiry.
func (h *Holder) release() {
	h.mu.Lock()
	leaseID := h.leaseID
	h.leaseID, h.fencingNumber = 0, 0
	h.mu.Unlock()
	if leaseID == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_ = h.Store.Revoke(ctx, leaseID)
}
