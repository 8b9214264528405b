package crashnotice

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
)

// noticeTTL is how long published notices outlive the last renewal, and so the instance
// that published them. They are renewed after half of it while there are any.
const noticeTTL = 10 * time.Minute

// KeyPublisher is a Publisher that writes one key of the key-value service under a lease.
type KeyPublisher struct {
	Store keyvalue.TransactionalStore
	// Name is the key. Each incarnation of an instance has a key of its own, so that it
	// does not overwrite the notices of an earlier one.
	Name  string
	Timer timer.Service

	mu        sync.Mutex
	lease     uint64
	renewedAt timer.Instant
}

// Publish implements Publisher.
func (k *KeyPublisher) Publish(ctx context.Context, value []byte) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := k.ensureLease(ctx); err != nil {
		return err
	}
	_, err := k.Store.Commit(ctx, keyvalue.Transaction{
		Writes: []keyvalue.Write{
			{Key: k.Name, Value: value, Lease: k.lease},
		},
	})
	if errors.Is(err, keyvalue.ErrLeaseGone) {
		k.lease = 0
	}
	return err
}

// Renew implements Publisher.
func (k *KeyPublisher) Renew(ctx context.Context) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.lease == 0 {
		return nil
	}
	return k.ensureLease(ctx)
}

// ensureLease grants the lease if there is none, and renews it once half of it has
// passed. k.mu must be held.
func (k *KeyPublisher) ensureLease(ctx context.Context) error {
	now := k.Timer.Now()
	if k.lease != 0 && now.Sub(k.renewedAt) < noticeTTL/2 {
		return nil
	}
	if k.lease != 0 {
		err := k.Store.KeepAlive(ctx, k.lease)
		if err == nil {
			k.renewedAt = now
		}
		if !errors.Is(err, keyvalue.ErrLeaseGone) {
			return err
		}
	}
	lease, err := k.Store.Grant(ctx, noticeTTL)
	if err != nil {
		return err
	}
	k.lease, k.renewedAt = lease, now
	return nil
}
