package keyvalue

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Change is a write or removal of one key below a watched prefix.
type Change struct {
	Item
	Removed bool
}

// Consistency selects how up to date a listing must be.
type Consistency bool

// The consistency levels. A stale listing costs a tenth of a fresh one and may be seconds
// old.
const (
	Fresh Consistency = false
	Stale Consistency = true
)

// Listing is the result of Range. It is read in pages and is not a snapshot, but a
// watch that begins at Revision delivers every later change.
type Listing struct {
	Items    []Item
	Revision uint64
}

// Condition is the condition that a key has a revision. Revision zero means that the key
// doesn't exist.
type Condition struct {
	Key      string
	Revision uint64
}

// Write is a new value for a key. With a non-zero lease, the item is removed when
// that lease ends.
type Write struct {
	Key   string
	Value []byte
	Lease uint64
}

// Transaction is applied atomically: completely if all its conditions hold, otherwise
// not at all. Removes lists the keys to remove.
type Transaction struct {
	Expects []Condition
	Writes  []Write
	Removes []string
}

// MaxEntries is the service's limit on the entries of one transaction.
const MaxEntries = 32

// TransactionalStore is a key-value service with prefixes and transactions. Every call can
// return ErrUnavailable (the call did nothing), ErrOutcomeUnknown (it may have taken
// effect, or may do so later) or ErrRateLimited (rejected by the rate limit; it did
// nothing).
type TransactionalStore interface {
	// Get returns the item at key, or ErrNotFound.
	Get(ctx context.Context, key string) (Item, error)
	// Range returns all items whose key begins with prefix.
	Range(ctx context.Context, prefix string, c Consistency) (Listing, error)
	// Watch waits up to wait for changes below prefix after the given revision,
	// and returns them with the revision to continue from. It returns
	// ErrCompacted when the service's history does not reach back that far.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Change, uint64, error)
	// Commit applies a transaction and returns its revision. It returns a
	// *ConflictError when a condition does not hold, and ErrLeaseGone when the
	// lease of a write has ended.
	Commit(ctx context.Context, tx Transaction) (uint64, error)
	// Grant creates a lease with the given time to live and returns its number.
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
	// KeepAlive renews a lease, or returns ErrLeaseGone.
	KeepAlive(ctx context.Context, lease uint64) error
	// Revoke ends a lease immediately.
	Revoke(ctx context.Context, lease uint64) error
}

// Errors of a TransactionalStore in addition to those of a Store.
var (
	ErrCompacted   = errors.New("the history of the key-value service no longer reaches back to that revision")
	ErrRateLimited = errors.New("the key-value service refuses calls at the moment because of its rate limit")
)

// ConflictError reports that a condition of a transaction does not hold. Items are the
// compared items as they are now.
type ConflictError struct {
	Items []Item
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%v: %d conditions compared; read the items again and retry", ErrConflict, len(e.Items))
}

// Unwrap returns ErrConflict.
func (e *ConflictError) Unwrap() error { return ErrConflict }

// Item returns the compared item at key. Its revision is zero if the key doesn't
// exist.
func (e *ConflictError) Item(key string) Item {
	for _, item := range e.Items {
		if item.Key == key {
			return item
		}
	}
	return Item{
		Key: key,
	}
}
