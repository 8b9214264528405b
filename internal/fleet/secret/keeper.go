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

// length of a secret in bytes.
const length = 32

// Keeper holds the fleet's secret. Take may be called at any time.
type Keeper struct {
	Space keyvalue.Space
	// Key is where the secret lies.
	Key string

	known atomic.Pointer[[]byte]
}

// Known returns the secret, or nil as long as it is not known here.
func (k *Keeper) Known() []byte {
	if s := k.known.Load(); s != nil {
		return *s
	}
	return nil
}

// Take takes the secret as the key-value service has it.
func (k *Keeper) Take(value []byte) error {
	var s []byte
	if err := json.Unmarshal(value, &s); err != nil {
		return fmt.Errorf("secret: %w", err)
	}
	if len(s) != length {
		return fmt.Errorf("secret: %d bytes, not %d", len(s), length)
	}
	k.known.Store(&s)
	return nil
}

// Get returns the secret. It makes one if there is none.
func (k *Keeper) Get(ctx context.Context) ([]byte, error) {
	if s := k.Known(); s != nil {
		return s, nil
	}
	fresh := make([]byte, length)
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
		// It may have been done, or be done later: only what lies there counts.
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
