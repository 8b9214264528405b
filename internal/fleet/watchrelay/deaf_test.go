package watchrelay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/fleet/registry"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
	"github.com/egretbend/egretbend/internal/standin/memorystore"
)

// deafStore is a service whose waiting watches hear nothing and are never answered.
type deafStore struct {
	*memorystore.Store
	watches int
}

// Watch implements keyvalue.TransactionalStore.
func (d *deafStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]keyvalue.Change, uint64, error) {
	d.watches++
	if wait == 0 {
		return d.Store.Watch(ctx, prefix, after, wait)
	}
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// Guards against a watch of the service that stays open and hears nothing: upstreams that leave,
// evacuated failure domains and lost instances were noticed after half a minute.
func TestChangeIsKnownThoughWatchHearsNothing(t *testing.T) {
	for _, bound := range []time.Duration{2 * time.Second, 5 * time.Second, 11 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			clock := timer.Real{}
			store := &deafStore{Store: &memorystore.Store{Timer: clock}}
			self := registry.Member{Name: "i", PeerAddress: "i"}
			r := &Relay{
				TransactionalStore: store,
				Registry: &view{
					members: []registry.Member{self},
					self:    self,
				},
				Timer:     clock,
				Connected: func() bool { return true },
			}
			r.AddCopy("p/").Bound = bound
			began := time.Now()
			go func() {
				time.Sleep(time.Millisecond)
				_, _ = store.Commit(ctx, keyvalue.Transaction{Writes: []keyvalue.Write{{Key: "p/a", Value: []byte("x")}}})
			}()
			changes, revision, err := r.Watch(ctx, "p/", 0, 28*time.Second)
			is.NoErr(err)
			is.Equal(len(changes), 1)
			is.Equal(changes[0].Key, "p/a")
			is.True(revision >= changes[0].Revision)
			is.True(time.Since(began) < bound)
			is.Equal(store.watches, 2) // each is a billed call
		})
	}
}

// slowStore is a service that answers each call late.
type slowStore struct {
	*memorystore.Store
	delay   time.Duration
	watches int
}

// Watch implements keyvalue.TransactionalStore.
func (s *slowStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]keyvalue.Change, uint64, error) {
	s.watches++
	if !timer.Wait(timer.Real{}, s.delay, ctx.Done()) {
		return nil, 0, ctx.Err()
	}
	return s.Store.Watch(ctx, prefix, after, wait)
}

// Guards against watches that fail and are made again all the time while the service is slow, each
// followed by a listing.
func TestSlowServiceIsWatchedWithFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := timer.Real{}
		store := &slowStore{
			Store: &memorystore.Store{Timer: clock},
			delay: time.Second,
		}
		self := registry.Member{Name: "i", PeerAddress: "i"}
		r := &Relay{
			TransactionalStore: store,
			Registry: &view{
				members: []registry.Member{self},
				self:    self,
			},
			Timer:     clock,
			Connected: func() bool { return true },
		}
		r.AddCopy("p/").Bound = 2 * time.Second
		_, _, err := r.Watch(context.Background(), "p/", 0, 28*time.Second)
		is.NoErr(err)
		is.Equal(store.watches, 3)
	})
}
