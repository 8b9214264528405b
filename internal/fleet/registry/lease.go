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

// pause returns the time until the next renewal.
func (r *Registry) pause(err error) time.Duration {
	if err == nil && time.Duration(r.ttl.Load()) == smallTTL {
		return smallEvery
	}
	return renewEvery
}

// wants returns how long this instance's lease should last.
func (r *Registry) wants() time.Duration {
	if r.Synced() && !r.Able() {
		return smallTTL
	}
	return leaseTTL
}

func (r *Registry) logLease(err error) {
	if err != nil {
		r.Journal.Trouble("lease not renewed", err, log.Fields{
			"lease": r.lease,
		})
		return
	}
	r.Journal.Event("lease held", log.Fields{
		"lease": r.lease,
	})
}

// renew keeps the lease, or begins another one and writes this instance under
// it.
func (r *Registry) renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	asked := r.Timer.Now()
	ttl := r.wants()
	// One that became able begins a shorter lease; its key moves over to it.
	if r.lease != 0 && ttl >= time.Duration(r.ttl.Load()) {
		err := r.Space.KeepAlive(ctx, r.lease)
		if err == nil {
			r.renewed.Store(int64(asked))
		}
		if !errors.Is(err, keyvalue.ErrLeaseGone) {
			return err
		}
		r.lease = 0
		r.renewed.Store(0)
		r.lapsed = true
	}
	lease, err := r.Space.Grant(ctx, ttl)
	if err != nil {
		return err
	}
	if err := r.write(ctx, lease); err != nil {
		return err
	}
	r.lease = lease
	r.ttl.Store(int64(ttl))
	r.number.Store(lease)
	r.renewed.Store(int64(asked))
	if r.lapsed && r.Lapsed != nil {
		r.Lapsed()
	}
	r.lapsed = false
	return nil
}

// Held reports whether this instance's lease surely stands: nobody takes it for
// dead.
func (r *Registry) Held() bool {
	_, ok := r.Lease(time.Duration(r.ttl.Load()))
	return ok
}

// Lease returns the number of this instance's lease, and whether it was renewed
// within a time.
func (r *Registry) Lease(within time.Duration) (uint64, bool) {
	at := r.renewed.Load()
	return r.number.Load(), at != 0 && r.Timer.Now().Sub(timer.Instant(at)) < within
}

// writeTries is how often a write is made that meets another one of this instance.
const writeTries = 3

// write writes this instance under a lease, in place of what stands there now. A
// write without an answer may be carried out seconds later; were it not bound to
// what it replaces, it would put the key back under a lease that nobody renews, and
// others would take this instance for dead while it goes on. What stands there is
// known from the write before, or shows in the conflict: all instances that start
// together would else read their keys first.
func (r *Registry) write(ctx context.Context, lease uint64) error {
	r.writing.Lock()
	defer r.writing.Unlock()
	self := r.Self()
	value, err := json.Marshal(self)
	if err != nil {
		return err
	}
	for range writeTries {
		var revision uint64
		revision, err = r.Space.Commit(ctx, keyvalue.Transaction{
			Expects: []keyvalue.Expect{
				{Key: Key(self.Name), Revision: r.stored},
			},
			Writes: []keyvalue.Write{
				{Key: Key(self.Name), Value: value, Lease: lease},
			},
		})
		if err == nil {
			r.stored = revision
			return nil
		}
		var conflict *keyvalue.ConflictError
		if !errors.As(err, &conflict) {
			return err
		}
		item := conflict.Item(Key(self.Name))
		r.stored = item.Revision
		if item.Lease == lease && bytes.Equal(item.Value, value) {
			return nil
		}
	}
	return err
}
