package crashnotice

import (
	"context"
	"errors"

	"github.com/apex/log"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
	"github.com/egretbend/egretbend/internal/route/poison"
)

// errNotClaimed reports a claim that could not be taken for the conflict in the store.
var errNotClaimed = errors.New("other instances keep taking the claim")

// take takes a reserved claim in the store, waiting until the deadline while another
// instance holds it. It ends the reservation if it fails.
func (c *Claimer) take(ctx context.Context, h *claim, req poison.ClaimRequest, started, deadline timer.Instant) poison.ClaimResult {
	if err := c.mayClaim(); err != nil {
		return c.withoutClaim(h, req, started, err)
	}
	var item keyvalue.Item
	poll := minClaimPoll
	for range maxClaimSteps {
		current, err := c.read(h, item)
		if err != nil {
			return c.withoutClaim(h, req, started, err)
		}
		v := c.Board.verdictOf(h.fingerprint)
		switch nextStep(current, c.Instance, v, req.Ran) {
		case stepStop:
			c.release(h)
			return c.decideStop(req, v, started)
		case stepWait:
			left := deadline.Sub(c.Timer.Now())
			if left <= 0 || !timer.Wait(c.Timer, min(left, poll), ctx.Done()) {
				c.release(h)
				return c.decide("held", req, v, poison.Refused, started, nil)
			}
			poll = min(2*poll, maxClaimPoll)
			item, err = c.get(ctx, h, deadline)
		case stepTake:
			item, err = c.write(ctx, h, item, true, deadline)
			if err == nil {
				return c.taken(h, req, v, started)
			}
			if item.Key != "" {
				err = nil // another instance was first
			}
		}
		if err != nil {
			return c.withoutClaim(h, req, started, err)
		}
	}
	return c.withoutClaim(h, req, started, errNotClaimed)
}

// taken starts the renewal of a claim and returns it.
func (c *Claimer) taken(h *claim, req poison.ClaimRequest, v poison.Verdict, started timer.Instant) poison.ClaimResult {
	c.log("taken", req.RequestID, v, log.Fields{
		"waited_ms": c.Timer.Now().Sub(started).Milliseconds(),
	})
	go h.renew()
	return poison.ClaimResult{
		Permission: poison.Serial,
		Verdict:    v,
		Claim:      h,
	}
}

// withoutClaim ends the reservation and returns how a request may be sent without a claim.
func (c *Claimer) withoutClaim(h *claim, req poison.ClaimRequest, started timer.Instant, err error) poison.ClaimResult {
	c.release(h)
	v := c.Board.verdictOf(h.fingerprint)
	return c.decide("degraded", req, v, v.PermitWithoutClaim(req.Ran), started, err)
}

// read applies the value of a claim's key to the board and returns it. An item without a
// revision has the zero value.
func (c *Claimer) read(h *claim, item keyvalue.Item) (claimValue, error) {
	if item.Revision == 0 {
		return claimValue{}, nil
	}
	v, err := decodeClaim(item.Value)
	if err != nil {
		return claimValue{}, err
	}
	h.cleared = v.Cleared
	c.Board.applyClaim(h.fingerprint, v)
	return v, nil
}

// key returns the key of the claim.
func (h *claim) key() string { return h.claimer.Prefix + h.fingerprint.String() }

// value returns the value of the claim's key.
func (h *claim) value(held bool) ([]byte, error) {
	c := h.claimer
	crashes := c.Board.crashesOf(h.fingerprint)
	if held {
		h.known = crashes
	}
	return newClaimValue(c.Instance, held, crashes, h.known, h.cleared, c.Timer.Now()).encode()
}

// get returns the present item of the claim's key. Its revision is zero if there is none.
func (c *Claimer) get(ctx context.Context, h *claim, deadline timer.Instant) (keyvalue.Item, error) {
	var item keyvalue.Item
	err := c.call(ctx, deadline, func(ctx context.Context) (err error) {
		item, err = c.Store.Get(ctx, h.key())
		return err
	})
	if errors.Is(err, keyvalue.ErrNotFound) {
		return keyvalue.Item{Key: h.key()}, nil
	}
	return item, err
}

// write writes the value of the claim under a new lease if the item is unchanged since it
// was read. If it is not, write returns the present item with an error.
func (c *Claimer) write(ctx context.Context, h *claim, item keyvalue.Item, held bool, deadline timer.Instant) (keyvalue.Item, error) {
	value, err := h.value(held)
	if err != nil {
		return keyvalue.Item{}, err
	}
	var lease uint64
	err = c.call(ctx, deadline, func(ctx context.Context) (err error) {
		lease, err = c.Store.Grant(ctx, claimTTL)
		return err
	})
	if err != nil {
		return keyvalue.Item{}, err
	}
	var revision uint64
	err = c.call(ctx, deadline, func(ctx context.Context) (err error) {
		revision, err = c.Store.Commit(ctx, h.transaction(item.Revision, value, lease))
		return err
	})
	if errors.Is(err, keyvalue.ErrOutcomeUnknown) {
		revision, err = c.confirm(ctx, h, item.Revision, lease, deadline, err)
		if err != nil {
			// The write may still take effect. Without its lease it can't.
			go c.revoke(lease)
		}
	}
	var conflict *keyvalue.ConflictError
	if errors.As(err, &conflict) {
		return conflict.Item(h.key()), err
	}
	if err != nil {
		return keyvalue.Item{}, err
	}
	h.lease, h.revision = lease, revision
	return keyvalue.Item{}, nil
}

// confirm reads whether a write without a response took effect. It returns a
// *keyvalue.ConflictError if another write did, and lost, the error of the write, if it is
// not known.
func (c *Claimer) confirm(ctx context.Context, h *claim, expect, lease uint64, deadline timer.Instant, lost error) (uint64, error) {
	item, err := c.get(ctx, h, deadline)
	switch {
	case err != nil, item.Revision == expect:
		return 0, lost
	case item.Lease != lease:
		err = &keyvalue.ConflictError{Items: []keyvalue.Item{item}}
	}
	c.mu.Lock()
	c.awayUntil = 0
	c.mu.Unlock()
	return item.Revision, err
}

// transaction returns the transaction that writes the claim in place of a revision.
func (h *claim) transaction(expect uint64, value []byte, lease uint64) keyvalue.Transaction {
	return keyvalue.Transaction{
		Expects: []keyvalue.Condition{
			{Key: h.key(), Revision: expect},
		},
		Writes: []keyvalue.Write{
			{Key: h.key(), Value: value, Lease: lease},
		},
	}
}

// call makes one call of the store, which is given up at the deadline, but not before
// minClaimCallTime. After a failure no claims are taken for claimAwayTime.
func (c *Claimer) call(ctx context.Context, deadline timer.Instant, f func(ctx context.Context) error) error {
	timeout := min(claimCallTimeout, max(minClaimCallTime, deadline.Sub(c.Timer.Now())))
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	sub := c.Timer.Once(timeout)
	defer sub.Close()
	go func() {
		select {
		case <-sub.C:
			cancel()
		case <-callCtx.Done():
		}
	}()
	err := f(callCtx)
	if err == nil || errors.Is(err, keyvalue.ErrConflict) || errors.Is(err, keyvalue.ErrNotFound) || errors.Is(err, keyvalue.ErrLeaseGone) {
		return err
	}
	if ctx.Err() == nil && (callCtx.Err() == nil || timeout == claimCallTimeout) {
		c.mu.Lock()
		c.awayUntil = c.Timer.Now().Add(claimAwayTime)
		c.mu.Unlock()
	}
	return err
}

// callInBackground makes one call of the store that no request waits for.
func (c *Claimer) callInBackground(f func(ctx context.Context) error) error {
	return c.call(context.Background(), c.Timer.Now().Add(claimCallTimeout), f)
}

// revoke ends a lease.
func (c *Claimer) revoke(lease uint64) {
	_ = c.callInBackground(func(ctx context.Context) error { return c.Store.Revoke(ctx, lease) })
}

// renew renews the lease of the claim until the claim ends.
func (h *claim) renew() {
	c := h.claimer
	ticks := c.Timer.Every(claimRenewInterval)
	defer ticks.Close()
	for end := c.Timer.Now().Add(maxClaimHold); c.Timer.Now() < end; {
		select {
		case <-ticks.C:
		case <-h.done:
			return
		}
		err := c.callInBackground(func(ctx context.Context) error { return c.Store.KeepAlive(ctx, h.lease) })
		if errors.Is(err, keyvalue.ErrLeaseGone) {
			return
		}
	}
}

// End implements poison.Claim. The value stays for the rest of its lease, so that other
// instances learn whether the request was answered.
func (h *claim) End(answered bool) {
	c := h.claimer
	if !answered {
		h.known = nil
	}
	value, err := h.value(false)
	if !c.release(h) || err != nil {
		return
	}
	v := c.Board.verdictOf(h.fingerprint)
	v.Fingerprint = h.fingerprint
	go func() {
		fields := log.Fields{}
		err := c.callInBackground(func(ctx context.Context) error {
			_, err := c.Store.Commit(ctx, h.transaction(h.revision, value, h.lease))
			return err
		})
		// After a conflict another claim has taken over, and passes on what is known.
		if err != nil && !errors.Is(err, keyvalue.ErrConflict) {
			fields["error"] = err.Error()
		}
		c.log("released", h.requestID, v, fields)
	}()
}
