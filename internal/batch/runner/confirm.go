package runner

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/apex/log"

	"github.com/egretbend/egretbend/internal/batch/ledger"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/engine"
	"github.com/egretbend/egretbend/internal/route/wire"
)

// No item of a batch may reach an engine later than 3 s after the end of the batch was
// acknowledged, also if its owner is partitioned and can't learn of the end. The three times
// claimTrust, itemDeliveryTimeout and 200 ms on the network add up to this.
const (
	// confirmInterval is how long after a claim was last confirmed it is read again. It
	// leaves claimTrust - confirmInterval for the read.
	confirmInterval = 800 * time.Millisecond
	// quickConfirmInterval takes its place while reads take quickRead at most, since each read is
	// a billed call. It leaves 300 ms after the checkInterval, and a slow service takes 240 ms.
	quickConfirmInterval = 1400 * time.Millisecond
	quickRead            = 100 * time.Millisecond
	// claimTrust is how long after a claim was confirmed items are sent.
	claimTrust = 1800 * time.Millisecond
	// itemDeliveryTimeout is how long the kernel may retain the bytes of an item.
	itemDeliveryTimeout = time.Second
	// confirmTimeout limits reading a claim, and asking whether the key-value service is
	// down. If the service can't be reached directly, a read is made through another
	// instance after 500 ms.
	confirmTimeout = 750 * time.Millisecond
	// confirmRetryPause is the pause after a claim that could not be read.
	confirmRetryPause = 300 * time.Millisecond
)

// confirmation is what is known of the claim on a batch. The batch's lock guards it.
type confirmation struct {
	// at is the start of the last call that showed that the claim is valid: an end of the
	// batch that was stored earlier would have been seen.
	at timer.Instant
	// reading says that the claim is being read, and nextAt is when it may be read again.
	reading bool
	nextAt  timer.Instant
	// quick says that the last read took quickRead at most.
	quick bool
	// withheld says that items are withheld as the claim is not confirmed.
	withheld bool
}

// interval returns how long after the claim was last confirmed it is read again.
func (c *confirmation) interval() time.Duration {
	if c.quick {
		return quickConfirmInterval
	}
	return confirmInterval
}

// confirmed records that a call that began at an instant has shown that the claim is valid.
// The caller holds b.mu.
func (b *Batch) confirmed(at timer.Instant) { b.confirmation.at = max(b.confirmation.at, at) }

// claimTrusted reports whether the claim was confirmed so lately that items may be sent. A batch
// that is not stored yet may have been accepted by another instance since it was last requested
// here, and ended there. The caller holds b.mu.
func (b *Batch) claimTrusted(now timer.Instant) bool {
	if b.unstored {
		return now.Sub(b.requestedAt) < claimTrust
	}
	return now.Sub(b.confirmation.at) < claimTrust
}

// errUnconfirmed withholds an item whose batch may have another owner by now. It says nothing about
// the engine.
var errUnconfirmed = fmt.Errorf("%w: the claim on its batch is not confirmed", engine.ErrWithdrawn)

// withClaimCheck returns the context of an attempt, which is withheld if the claim is no longer
// trusted when its connection is ready.
func (r *Runner) withClaimCheck(b *Batch) context.Context {
	ctx := wire.WithDeliveryTimeout(b.ctx, itemDeliveryTimeout)
	return wire.WithBeforeWrite(ctx, func() error {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.over() || !b.claimTrusted(r.Timer.Now()) {
			return errUnconfirmed
		}
		return nil
	})
}

// confirmClaim reads the claim on a batch whose items are still sent if nothing has confirmed
// it lately. The caller holds b.mu.
func (r *Runner) confirmClaim(b *Batch, now timer.Instant) {
	c := &b.confirmation
	if !b.unstored && !b.claimTrusted(now) && !c.withheld {
		c.withheld = true
		r.Journal.Warn("items withheld until the claim is confirmed", nil, log.Fields{
			"request_id":     b.sub.ID,
			"open":           b.open,
			"unconfirmed_ms": now.Sub(c.at).Milliseconds(),
		})
	}
	if b.unstored || b.open == 0 || c.reading || now < c.nextAt || now.Sub(c.at) < c.interval() {
		return
	}
	c.reading = true
	claim := b.claim
	go func() {
		at, err := r.readClaim(claim)
		if r.claimRead(b, at, err) {
			r.Drop(b.sub.ID, err)
		}
	}()
}

// claimRead records the outcome of reading the claim on a batch. It reports whether the batch is
// to be dropped.
func (r *Runner) claimRead(b *Batch, at timer.Instant, err error) (drop bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := &b.confirmation
	c.reading = false
	switch {
	case b.over():
		// It was ended or handed over here meanwhile.
		return false
	case errors.Is(err, ledger.ErrFenced):
		return true
	case err != nil:
		c.quick = false
		c.nextAt = r.Timer.Now().Add(confirmRetryPause)
		return false
	}
	b.confirmed(at)
	c.quick = r.Timer.Now().Sub(at) <= quickRead
	if c.withheld && b.claimTrusted(r.Timer.Now()) {
		c.withheld = false
		r.Journal.Info("claim confirmed again", log.Fields{
			"request_id": b.sub.ID,
		})
	}
	b.dispatchWake.Set()
	return false
}

// readClaim reads a claim and returns the time from which on it is confirmed. While no instance
// reaches the key-value service, no batch can be ended or taken over, which confirms it as well.
func (r *Runner) readClaim(claim ledger.Claim) (timer.Instant, error) {
	began := r.Timer.Now()
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	err := r.Ledger.Confirm(ctx, claim)
	cancel()
	if err == nil || errors.Is(err, ledger.ErrFenced) {
		return began, err
	}
	if r.StoreDown == nil {
		return r.Timer.Now(), nil
	}
	ctx, cancel = context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	if until, down := r.StoreDown(ctx); down {
		return until, nil
	}
	return 0, err
}
