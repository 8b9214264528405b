package secret

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"sync/atomic"

	"github.com/egretbend/egretbend/internal/outside/keyvalue"
)

// secretLength is the length of a secret in bytes.
const secretLength = 32

// StoredSecret shares the secret through the key-value service. Set may be called
// concurrently with the other methods.
type StoredSecret struct {
	Store keyvalue.TransactionalStore
	// Key is the key of the secret in Store.
	Key string

	known atomic.Pointer[[]byte]
}

// Value returns the secret, or nil while this instance does not know it.
func (k *StoredSecret) Value() []byte {
	if s := k.known.Load(); s != nil {
		return *s
	}
	return nil
}

// Set sets the secret to the value stored in the key-value service.
func (k *StoredSecret) Set(value []byte) error {
	var s []byte
	if err := json.Unmarshal(value, &s); err != nil {
		return fmt.Errorf("decode secret: %w", err)
	}
	if len(s) != secretLength {
		return fmt.Errorf("secret has %d bytes, expected %d", len(s), secretLength)
	}
	k.known.Store(&s)
	return nil
}

// Get returns the secret and creates it if the key-value service has none.
func (k *StoredSecret) Get(ctx context.Context) ([]byte, error) {
	if s := k.Value(); s != nil {
		return s, nil
	}
	fresh := make([]byte, secretLength)
	_, _ = rand.Read(fresh) // never fails
	value, err := json.Marshal(fresh)
	if err != nil {
		return nil, err
	}
	_, err = k.Store.Commit(ctx, keyvalue.Transaction{
		Expects: []keyvalue.Condition{
			{Key: k.Key},
		},
		Writes: []keyvalue.Write{
			{Key: k.Key, Value: value},
		},
	})
	var conflict *keyvalue.ConflictError
	switch {
	case err == nil:
	case errors.As(err, &conflict):
		value = conflict.Item(k.Key).Value
	case errors.Is(err, keyvalue.ErrOutcomeUnknown):
		// The write may have been applied or may still be applied later, so only the
		// stored value is valid.
		item, err := k.Store.Get(ctx, k.Key)
		if err != nil {
			return nil, err
		}
		value = item.Value
	default:
		return nil, err
	}
	if err := k.Set(value); err != nil {
		return nil, err
	}
	return k.Value(), nil
}
