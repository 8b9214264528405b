// Package keyvalue is the program's view of the platform's key-value service.
//
// Store is the small interface that parts use; adapters register themselves in
// Adapters under the name that the settings give. Revisions are those of the
// whole service: they only go up, and a write returns its own.
//
//	rev, err := store.Put(ctx, key, value, item.Revision, 0)
//	switch {
//	case errors.Is(err, keyvalue.ErrConflict): // someone else was first
//	case errors.Is(err, keyvalue.ErrLost):     // it may have taken effect
//	}
//
// The service counts every call, a waiting watch as one. Nothing on the path
// of a request or a sample calls it.
package keyvalue
