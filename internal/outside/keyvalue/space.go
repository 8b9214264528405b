package keyvalue

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Change is one change of a watched prefix.
type Change struct {
	Item
	Removed bool
}

// Freshness says how old a listing may be.
type Freshness bool

// The kinds of listings. A stale one costs a tenth and may be seconds old.
const (
	Fresh Freshness = false
	Stale Freshness = true
)

// Listing is the items below a prefix. Its pages are no snapshot; every change
// after Revision shows in a watch that begins there.
type Listing struct {
	Items    []Item
	Revision uint64
}

// Expect is a condition on one key. Revision zero means that it doesn't exist.
type Expect struct {
	Key      string
	Revision uint64
}

// Write is one new value. A non-zero lease removes it when that lease ends.
type Write struct {
	Key   string
	Value []byte
	Lease uint64
}

// Transaction is carried out whole if all its conditions hold, or not at all.
type Transaction struct {
	Expects []Expect
	Writes  []Write
	Removes []string
}

// MaxEntries is the most entries of one transaction, from the service's limits.
const MaxEntries = 32

// Space is a key-value service with prefixes and transactions. Errors of all
// calls: ErrDown (nothing was done), ErrLost (it may have been done, or may be
// done later), ErrBusy (refused for the rate of calls; nothing was done).
type Space interface {
	// Get returns the item at key, or ErrNotFound.
	Get(ctx context.Context, key string) (Item, error)
	// Range returns all items whose key begins with prefix.
	Range(ctx context.Context, prefix string, f Freshness) (Listing, error)
	// Watch waits for changes below prefix after a revision, for as long as
	// wait, and returns them with the revision to go on from. It returns
	// ErrCompacted when the history does not reach back that far.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Change, uint64, error)
	// Commit carries out a transaction and returns its revision. It returns a
	// *ConflictError when a condition does not hold, ErrLeaseGone when a lease
	// of a write has ended.
	Commit(ctx context.Context, tx Transaction) (uint64, error)
	// Grant makes a lease of the given length and returns its number.
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
	// KeepAlive renews a lease, or returns ErrLeaseGone.
	KeepAlive(ctx context.Context, lease uint64) error
	// Revoke ends a lease at once.
	Revoke(ctx context.Context, lease uint64) error
}

// The further ways in which a call can fail.
var (
	ErrCompacted = errors.New("the history no longer reaches back that far")
	ErrBusy      = errors.New("the key-value service refuses calls for now")
)

// ConflictError says how the conditions of a transaction stand.
type ConflictError struct {
	Items []Item
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%v: %d conditions compared; read them again and decide anew", ErrConflict, len(e.Items))
}

// Unwrap makes it an ErrConflict.
func (e *ConflictError) Unwrap() error { return ErrConflict }

// Item returns the compared item at key; one without a revision doesn't exist.
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
