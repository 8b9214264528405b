package keyvalue

import (
	"context"
	"errors"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/part"
)

// Item is a key with its value. Revision is the service's revision of the last write
// to the key; zero means that the key doesn't exist. With a non-zero lease, the item is
// removed when that lease ends.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Lease    uint64 `json:"lease,omitempty"`
}

// Store is a key-value service with operations on single keys.
type Store interface {
	// Get returns the item at key, or ErrNotFound.
	Get(ctx context.Context, key string) (Item, error)
	// Put writes value if the item's revision equals expect, where zero means
	// that there must be no item, and returns the new revision. With a non-zero
	// lease, the item is removed when that lease ends. Errors: ErrConflict,
	// ErrOutcomeUnknown, ErrUnavailable.
	Put(ctx context.Context, key string, value []byte, expect, lease uint64) (uint64, error)
	// Watch waits until the item at key has a revision above after, and returns
	// the item. It returns ErrNoChange when the service ends the wait first.
	Watch(ctx context.Context, key string, after uint64) (Item, error)
	// Grant creates a lease with the given time to live and returns its number.
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
	// KeepAlive renews a lease, or returns ErrLeaseGone.
	KeepAlive(ctx context.Context, lease uint64) error
	// Revoke ends a lease immediately.
	Revoke(ctx context.Context, lease uint64) error
}

// Errors of the key-value service.
var (
	ErrNotFound  = errors.New("key not found")
	ErrConflict  = errors.New("the item has another revision")
	ErrLeaseGone = errors.New("the lease has ended")
	ErrNoChange  = errors.New("no change while waiting")
	// ErrUnavailable means that the call did not reach the service, which did nothing.
	ErrUnavailable = errors.New("the key-value service can't be reached")
	// ErrOutcomeUnknown means that no valid response arrived: the call may have taken effect,
	// or may do so later.
	ErrOutcomeUnknown = errors.New("no valid response from the key-value service; the call may have taken effect")
	// ErrInvalid means that the service rejected the call as invalid and did
	// nothing.
	ErrInvalid = errors.New("the key-value service rejected the call as invalid")
)

// Adapters holds the constructors of Store implementations by adapter name. Each takes
// the address of the service.
var Adapters part.Registry[func(address string) Store]
