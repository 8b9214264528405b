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
func (s *StoredSecret) Value() []byte {
	if secret := s.known.Load(); secret != nil {
		return *secret
	}
	return nil
}

// Set sets the secret to the value stored in the key-value service.
func (s *StoredSecret) Set(value []byte) error {
	var secret []byte
	if err := json.Unmarshal(value, &secret); err != nil {
		return fmt.Errorf("decode secret: %w", err)
	}
	if len(secret) != secretLength {
		return fmt.Errorf("secret has %d bytes, expected %d", len(secret), secretLength)
	}
	s.known.Store(&secret)
	return nil
}

// Get returns the secret and creates it if the key-value service has none.
func (s *StoredSecret) Get(ctx context.Context) ([]byte, error) {
	if secret := s.Value(); secret != nil {
		return secret, nil
	}
	fresh := make([]byte, secretLength)
	_, _ = rand.Read(fresh) // never fails
	value, err := json.Marshal(fresh)
	if err != nil {
		return nil, err
	}
	_, err = s.Store.Commit(ctx, keyvalue.Transaction{
		Expects: []keyvalue.Condition{
			{Key: s.Key},
		},
		Writes: []keyvalue.Write{
			{Key: s.Key, Value: value},
		},
	})
	var conflict *keyvalue.ConflictError
	switch {
	case err == nil:
	case errors.As(err, &conflict):
		value = conflict.Item(s.Key).Value
	case errors.Is(err, keyvalue.ErrOutcomeUnknown):
		// The write may have been applied or may still be applied later, so only the
		// stored value is valid.
		item, err := s.Store.Get(ctx, s.Key)
		if err != nil {
			return nil, err
		}
		value = item.Value
	default:
		return nil, err
	}
	if err := s.Set(value); err != nil {
		return nil, err
	}
	return s.Value(), nil
}
