package registry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
)

// renewInterval returns the time until the next renewal, after a renewal that
// returned err.
func (r *Registry) renewInterval(err error) time.Duration {
	if err == nil && time.Duration(r.ttl.Load()) == smallInstanceTTL {
		return smallInstanceRenewPeriod
	}
	return renewPeriod
}

// desiredTTL returns the TTL that the lease of this instance should have.
func (r *Registry) desiredTTL() time.Duration {
	if r.Synced() && !r.Eligible() {
		return smallInstanceTTL
	}
	return leaseTTL
}

// logLeaseState logs that the lease is held, or that its renewal failed by err.
func (r *Registry) logLeaseState(err error) {
	if err != nil {
		r.Journal.Warn("lease not renewed", err, log.Fields{
			"lease": r.leaseID,
		})
		return
	}
	r.Journal.Info("lease held", log.Fields{
		"lease": r.leaseID,
	})
}

// renew extends the lease, or requests a new one and writes the entry of this
// instance under it.
func (r *Registry) renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	requested := r.Timer.Now()
	ttl := r.desiredTTL()
	// An instance that became eligible for batches requests a shorter lease and
	// moves its entry to it.
	if r.leaseID != 0 && ttl >= time.Duration(r.ttl.Load()) {
		err := r.Store.KeepAlive(ctx, r.leaseID)
		if err == nil {
			r.renewedAt.Store(int64(requested))
		}
		if !errors.Is(err, keyvalue.ErrLeaseGone) {
			return err
		}
		r.leaseID = 0
		r.renewedAt.Store(0)
		r.leaseLost = true
	}
	leaseID, err := r.Store.Grant(ctx, ttl)
	if err != nil {
		return err
	}
	if err := r.writeSelf(ctx, leaseID); err != nil {
		// The entry may be under the new lease, so that renewals of the earlier one would not
		// keep it.
		r.leaseLost = r.leaseLost || r.leaseID != 0
		r.leaseID = 0
		r.renewedAt.Store(0)
		return err
	}
	r.leaseID = leaseID
	r.ttl.Store(int64(ttl))
	r.currentLease.Store(leaseID)
	r.renewedAt.Store(int64(requested))
	if r.leaseLost && r.OnLeaseRegained != nil {
		r.OnLeaseRegained()
	}
	r.leaseLost = false
	return nil
}

// LeaseHeld reports whether the lease of this instance is certainly still valid, so
// that no other instance considers this one dead.
func (r *Registry) LeaseHeld() bool {
	_, ok := r.LeaseRenewedWithin(time.Duration(r.ttl.Load()))
	return ok
}

// LeaseRenewedWithin returns the ID of this instance's lease, and whether it was renewed
// less than within ago.
func (r *Registry) LeaseRenewedWithin(within time.Duration) (uint64, bool) {
	lease, at, ok := r.LeaseRenewed()
	return lease, ok && r.Timer.Now().Sub(at) < within
}

// LeaseRenewed returns the ID of this instance's lease and the instant before its last
// successful renewal, and whether it is held.
func (r *Registry) LeaseRenewed() (lease uint64, at timer.Instant, ok bool) {
	at = timer.Instant(r.renewedAt.Load())
	return r.currentLease.Load(), at, at != 0
}

// maxWriteTries is how many times a write of this instance's entry is attempted
// when it conflicts with another write of the entry.
const maxWriteTries = 3

// writeSelf writes the entry of this instance under a lease, on condition that
// the entry in the service still has the expected revision. A write without an
// answer may be carried out seconds later. Without the condition it would then
// put the entry back under a lease that nobody renews, and other instances would
// consider this one dead while it runs. The expected revision is known from the
// previous write or from a conflict; reading the entry first would cost a call
// for each of the instances that start together.
func (r *Registry) writeSelf(ctx context.Context, leaseID uint64) error {
	r.writeMu.Lock()
	defer r.writeMu.Unlock()
	self := r.Self()
	value, err := json.Marshal(self)
	if err != nil {
		return err
	}
	for range maxWriteTries {
		var revision uint64
		revision, err = r.Store.Commit(ctx, keyvalue.Transaction{
			Expects: []keyvalue.Condition{
				{Key: InstanceKey(self.Name), Revision: r.storedRevision},
			},
			Writes: []keyvalue.Write{
				{Key: InstanceKey(self.Name), Value: value, Lease: leaseID},
			},
		})
		if err == nil {
			r.storedRevision = revision
			return nil
		}
		var conflict *keyvalue.ConflictError
		if !errors.As(err, &conflict) {
			return err
		}
		item := conflict.Item(InstanceKey(self.Name))
		r.storedRevision = item.Revision
		if item.Lease == leaseID && bytes.Equal(item.Value, value) {
			return nil
		}
	}
	return err
}
