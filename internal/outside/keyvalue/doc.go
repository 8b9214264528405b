// Package keyvalue defines the interfaces to the platform's key-value service.
//
// Store has operations on single keys; TransactionalStore adds prefixes and transactions.
// Implementations of Store register themselves in Adapters under the name that the
// settings use. Revisions are numbered across the whole service: they only increase,
// and a write returns the revision that it created.
//
//	rev, err := store.Put(ctx, key, value, item.Revision, 0)
//	switch {
//	case errors.Is(err, keyvalue.ErrConflict): // another client wrote first
//	case errors.Is(err, keyvalue.ErrOutcomeUnknown): // the write may have taken effect
//	}
//
// The service counts every call, and a watch that waits counts as one. Code on the
// path of a request or a sample must not call it.
package keyvalue
