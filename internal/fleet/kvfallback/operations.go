package kvfallback

import (
	"context"
	"time"

	"github.com/egretbend/egretbend/internal/outside/keyvalue"
)

// Watch implements keyvalue.TransactionalStore. It uses one path only; when that path
// fails, the caller lists again on the other one.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]keyvalue.Change, uint64, error) {
	if s.paused() {
		return nil, 0, keyvalue.ErrUnavailable
	}
	c := Call{
		Kind:   KindWatch,
		Key:    prefix,
		After:  after,
		WaitMS: wait.Milliseconds(),
	}
	failed, lost := s.directState()
	if failed {
		return s.watchAtPeer(ctx, c)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	go func() {
		select {
		case <-lost:
			cancel()
		case <-ctx.Done():
		}
	}()
	reply := c.MakeAt(ctx, s.Direct)
	return reply.Changes, reply.Revision, reply.Err()
}

// watchAtPeer watches through one other instance, for peerWatchWait at most.
func (s *Store) watchAtPeer(ctx context.Context, c Call) ([]keyvalue.Change, uint64, error) {
	peers := s.pickPeers(c)
	if len(peers) == 0 {
		return nil, 0, keyvalue.ErrUnavailable
	}
	c.WaitMS = min(c.WaitMS, peerWatchWait.Milliseconds())
	ctx, cancel := context.WithTimeout(ctx, peerWatchWait+peerTimeout)
	defer cancel()
	reply, err := s.Peers.Call(ctx, peers[0], c)
	if err != nil {
		s.avoidPeer(peers[0])
		return nil, 0, err
	}
	return reply.Changes, reply.Revision, reply.Err()
}

// Get implements keyvalue.TransactionalStore.
func (s *Store) Get(ctx context.Context, key string) (keyvalue.Item, error) {
	reply, err := s.do(ctx, Call{
		Kind: KindGet,
		Key:  key,
	})
	return reply.Item, err
}

// Range implements keyvalue.TransactionalStore.
func (s *Store) Range(ctx context.Context, prefix string, consistency keyvalue.Consistency) (keyvalue.Listing, error) {
	reply, err := s.do(ctx, Call{
		Kind:  KindRange,
		Key:   prefix,
		Stale: bool(consistency),
	})
	return reply.Listing, err
}

// ChangesSince returns the changes below a prefix after a revision without waiting, and the
// revision up to which they are complete.
func (s *Store) ChangesSince(ctx context.Context, prefix string, after uint64) ([]keyvalue.Change, uint64, error) {
	reply, err := s.do(ctx, Call{
		Kind:  KindWatch,
		Key:   prefix,
		After: after,
	})
	return reply.Changes, reply.Revision, err
}

// Commit implements keyvalue.TransactionalStore.
func (s *Store) Commit(ctx context.Context, tx keyvalue.Transaction) (uint64, error) {
	reply, err := s.do(ctx, Call{
		Kind:        KindCommit,
		Transaction: tx,
	})
	return reply.Revision, err
}

// Grant implements keyvalue.TransactionalStore.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	reply, err := s.do(ctx, Call{
		Kind:   KindGrant,
		WaitMS: ttl.Milliseconds(),
	})
	return reply.Lease, err
}

// KeepAlive implements keyvalue.TransactionalStore.
func (s *Store) KeepAlive(ctx context.Context, lease uint64) error {
	_, err := s.do(ctx, Call{
		Kind:  KindKeepAlive,
		Lease: lease,
	})
	return err
}

// Revoke implements keyvalue.TransactionalStore.
func (s *Store) Revoke(ctx context.Context, lease uint64) error {
	_, err := s.do(ctx, Call{
		Kind:  KindRevoke,
		Lease: lease,
	})
	return err
}
