package keyvalue

import (
	"context"
	"errors"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/part"
)

// Item is a stored value. Revision is the service's revision of its last
// write; zero means that the key doesn't exist.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Lease    uint64 `json:"lease,omitempty"`
}

// Store is the platform's key-value service.
type Store interface {
	// Get returns the item at key, or ErrNotFound.
	Get(ctx context.Context, key string) (Item, error)
	// Put writes value if the item's revision is expect (zero: if there is no
	// item) and returns the new revision. A non-zero lease removes the item
	// when that lease ends. Errors: ErrConflict, ErrLost, ErrDown.
	Put(ctx context.Context, key string, value []byte, expect, lease uint64) (uint64, error)
	// Watch waits until the item at key has a revision above after, and
	// returns it. It returns ErrNoChange when the service ends the wait.
	Watch(ctx context.Context, key string, after uint64) (Item, error)
	// Grant makes a lease of the given length and returns its number.
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
	// KeepAlive renews a lease, or returns ErrLeaseGone.
	KeepAlive(ctx context.Context, lease uint64) error
	// Revoke ends a lease at once.
	Revoke(ctx context.Context, lease uint64) error
}

// The ways in which a call can fail.
var (
	ErrNotFound  = errors.New("key not found")
	ErrConflict  = errors.New("the item has another revision")
	ErrLeaseGone = errors.New("the lease has ended")
	ErrNoChange  = errors.New("no change while waiting")
	// ErrDown means that the call did not reach the service.
	ErrDown = errors.New("the key-value service can't be reached")
	// ErrLost means that the call may have taken effect.
	ErrLost = errors.New("the answer of the key-value service was lost")
	// ErrInvalid means that the service refuses the call as it is, and did
	// nothing.
	ErrInvalid = errors.New("the key-value service refuses such a call")
)

// Adapters holds the known ways to reach a key-value service; each opens a
// Store at an address.
var Adapters part.Registry[func(address string) Store]
