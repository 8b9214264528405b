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

// Keeper shares the secret through the key-value service. Take may be called
// concurrently with the other methods.
type Keeper struct {
	Space keyvalue.Space
	// Key is the key of the secret in Space.
	Key string

	known atomic.Pointer[[]byte]
}

// Known returns the secret, or nil while this instance does not know it.
func (k *Keeper) Known() []byte {
	if s := k.known.Load(); s != nil {
		return *s
	}
	return nil
}

// Take sets the secret to the value stored in the key-value service.
func (k *Keeper) Take(value []byte) error {
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
func (k *Keeper) Get(ctx context.Context) ([]byte, error) {
	if s := k.Known(); s != nil {
		return s, nil
	}
	fresh := make([]byte, secretLength)
	_, _ = rand.Read(fresh) // never fails
	value, err := json.Marshal(fresh)
	if err != nil {
		return nil, err
	}
	_, err = k.Space.Commit(ctx, keyvalue.Transaction{
		Expects: []keyvalue.Expect{
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
	case errors.Is(err, keyvalue.ErrLost):
		// The write may have been applied or may still be applied later, so only the
		// stored value is valid.
		item, err := k.Space.Get(ctx, k.Key)
		if err != nil {
			return nil, err
		}
		value = item.Value
	default:
		return nil, err
	}
	if err := k.Take(value); err != nil {
		return nil, err
	}
	return k.Known(), nil
}
