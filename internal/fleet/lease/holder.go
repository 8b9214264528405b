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

// The times of a lease.
const (
	// TTL is the length of a lease.
	TTL = 6 * time.Second
	// renewPeriod is the time between two renewals: three may fail.
	renewPeriod = 1500 * time.Millisecond
	// margin is for clocks that run at different rates and for an order that
	// is on its way when the lease ends.
	margin      = time.Second
	callTimeout = time.Second
)

// Holder holds one lease while it is a candidate for it.
type Holder struct {
	Store   keyvalue.Store
	Timer   timer.Service
	Journal *journal.Journal
	// Key is where the holder's name lies; Self is that name.
	Key  string
	Self string
	// Candidate tells whether this instance should try for the lease.
	Candidate func() bool

	mu     sync.Mutex
	lease  uint64
	number uint64
	until  timer.Instant
	last   uint64
}

// Held returns the fencing number while the lease is held. A later holder's
// number is always higher.
func (h *Holder) Held(now timer.Instant) (uint64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.number == 0 || now >= h.until {
		return 0, false
	}
	return h.number, true
}

// Last returns the last fencing number that this instance held, or zero.
func (h *Holder) Last() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.last
}

// Run takes and renews the lease until t dies, and then gives it back.
func (h *Holder) Run(t *tomb.Tomb) error {
	tick := h.Timer.Every(renewPeriod)
	defer tick.Close()
	for {
		h.Step(t.Context(context.Background()))
		select {
		case <-tick.C:
		case <-t.Dying():
			h.giveBack()
			return nil
		}
	}
}

// Step renews the lease, or tries to take it.
func (h *Holder) Step(ctx context.Context) {
	h.mu.Lock()
	lease := h.lease
	h.mu.Unlock()
	if !h.Candidate() {
		if lease != 0 {
			h.giveBack()
		}
		return
	}
	if lease != 0 {
		h.renew(ctx, lease)
		return
	}
	h.take(ctx)
}

func (h *Holder) renew(ctx context.Context, lease uint64) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	asked := h.Timer.Now()
	err := h.Store.KeepAlive(ctx, lease)
	if errors.Is(err, keyvalue.ErrLeaseGone) {
		h.lost()
		return
	}
	if err != nil {
		// The service is down or slow. The lease runs out by itself; until
		// then nobody else can have it.
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lease == lease {
		h.until = asked.Add(TTL - margin)
	}
}

// take asks for a lease and puts the holder's name under it. If the answer to
// the put is lost, the name under this very lease is read back; the number is
// then the revision of the item.
func (h *Holder) take(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	if item, err := h.Store.Get(ctx, h.Key); err == nil && item.Revision > 0 {
		return
	} else if err != nil && !errors.Is(err, keyvalue.ErrNotFound) {
		return
	}
	asked := h.Timer.Now()
	lease, err := h.Store.Grant(ctx, TTL)
	if err != nil {
		return
	}
	number, err := h.Store.Put(ctx, h.Key, []byte(h.Self), 0, lease)
	if errors.Is(err, keyvalue.ErrLost) {
		number, err = h.readBack(ctx, lease)
	}
	if err != nil {
		_ = h.Store.Revoke(ctx, lease)
		return
	}
	h.mu.Lock()
	h.lease = lease
	h.number = number
	h.last = number
	h.until = asked.Add(TTL - margin)
	h.mu.Unlock()
	h.Journal.Decision("lease_taken", log.Fields{
		"key":            h.Key,
		"fencing_number": number,
		"reason":         "no_holder",
	})
}

func (h *Holder) readBack(ctx context.Context, lease uint64) (uint64, error) {
	item, err := h.Store.Get(ctx, h.Key)
	if err != nil {
		return 0, err
	}
	if item.Lease != lease {
		return 0, keyvalue.ErrConflict
	}
	return item.Revision, nil
}

func (h *Holder) lost() {
	h.mu.Lock()
	number := h.number
	h.lease, h.number = 0, 0
	h.mu.Unlock()
	h.Journal.Event("lease_lost", log.Fields{
		"key":            h.Key,
		"fencing_number": number,
	})
}

// giveBack ends the lease at once, so that the next holder need not wait.
func (h *Holder) giveBack() {
	h.mu.Lock()
	lease := h.lease
	h.lease, h.number = 0, 0
	h.mu.Unlock()
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_ = h.Store.Revoke(ctx, lease)
}
