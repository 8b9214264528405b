package duty

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/wire"
)

// ErrWithheld means that a call was not made, since the permission of this instance to make
// calls has ended or ends too soon.
var ErrWithheld = errors.New("the call was withheld: this instance may not make it any longer")

// BeginCall returns the context for one call under a fencing token. The context ends after
// timeout, or with this instance's permission to make calls if that is sooner, and its check
// withholds a call whose connection is ready too late (wire.WithBeforeWrite). The connection
// of a call that has not been answered by then must be reset. The caller calls end once the
// call has ended.
func (h *Holder) BeginCall(ctx context.Context, fence uint64, timeout time.Duration) (call context.Context, end func(), err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	left := h.timeLeft()
	if fence != h.fence || left < minCallTime {
		return nil, nil, h.withheld(fence, left)
	}
	timeout = min(timeout, left)
	deadline := h.Timer.Now().Add(timeout)
	h.calls++
	h.callsUntil = max(h.callsUntil, deadline.Add(DeliveryTimeout))
	call = wire.WithBeforeWrite(ctx, func() error { return h.checkCall(fence, deadline) })
	call = wire.WithDeliveryTimeout(call, DeliveryTimeout)
	call, cancel := context.WithTimeout(call, timeout)
	return call, sync.OnceFunc(func() {
		cancel()
		h.endCall()
	}), nil
}

// checkCall returns an error if a call may no longer be written.
func (h *Holder) checkCall(fence uint64, deadline timer.Instant) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	left := min(deadline.Sub(h.Timer.Now()), h.timeLeft())
	if fence != h.fence || left < minCallTime {
		return h.withheld(fence, left)
	}
	return nil
}

// withheld logs that a call was withheld and returns ErrWithheld.
func (h *Holder) withheld(fence uint64, left time.Duration) error {
	h.Journal.Warn("duty call withheld", ErrWithheld, log.Fields{
		"fencing":     fence,
		"current":     h.fence,
		"left_ms":     left.Milliseconds(),
		"required_ms": minCallTime.Milliseconds(),
	})
	return ErrWithheld
}

// endCall records the end of a call. Its connection is open for the next call if it was
// answered, and was reset otherwise: after networkDelay nothing more of it arrives.
func (h *Holder) endCall() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls--
	if h.calls == 0 {
		h.callsUntil = min(h.callsUntil, h.Timer.Now().Add(networkDelay))
	}
}
