package bulletin

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
)

// lasts is how long what was told outlives the instance that told it. It is renewed in
// half of that time as long as anything is to be told.
const lasts = 10 * time.Minute

// Key is a Poster over the key-value service.
type Key struct {
	Space keyvalue.Space
	// Name is the key. Each incarnation of an instance has another: what an earlier one told
	// must stay where it is.
	Name  string
	Timer timer.Service

	mu      sync.Mutex
	lease   uint64
	renewed timer.Instant
}

// Post implements Poster.
func (k *Key) Post(ctx context.Context, value []byte) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := k.renew(ctx); err != nil {
		return err
	}
	_, err := k.Space.Commit(ctx, keyvalue.Transaction{
		Writes: []keyvalue.Write{
			{Key: k.Name, Value: value, Lease: k.lease},
		},
	})
	if errors.Is(err, keyvalue.ErrLeaseGone) {
		k.lease = 0
	}
	return err
}

// Renew implements Poster.
func (k *Key) Renew(ctx context.Context) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.lease == 0 {
		return nil
	}
	return k.renew(ctx)
}

// renew makes the lease, or renews it in time. The lock is held.
func (k *Key) renew(ctx context.Context) error {
	now := k.Timer.Now()
	if k.lease != 0 && now.Sub(k.renewed) < lasts/2 {
		return nil
	}
	if k.lease != 0 {
		err := k.Space.KeepAlive(ctx, k.lease)
		if err == nil {
			k.renewed = now
		}
		if !errors.Is(err, keyvalue.ErrLeaseGone) {
			return err
		}
	}
	lease, err := k.Space.Grant(ctx, lasts)
	if err != nil {
		return err
	}
	k.lease, k.renewed = lease, now
	return nil
}
