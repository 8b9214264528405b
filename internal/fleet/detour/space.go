package detour

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/egretbend/egretbend/internal/kernel/journal"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
)

// The times of the detour.
const (
	// directTimeout is how long the direct way may take before another one is
	// tried. A slow service takes 60 times its usual 4 ms.
	directTimeout = 500 * time.Millisecond
	// peerTimeout is how long one other instance may take.
	peerTimeout = 400 * time.Millisecond
	// badFor is how long the direct way is not tried first after a failure.
	badFor = time.Second
	// triesThrough is how many other instances are tried for one call.
	triesThrough = 2
	// watchSlack is how much longer than asked a watch may take.
	watchSlack = 3 * time.Second
)

// Peers makes calls at other instances, which make them at the service.
type Peers interface {
	Call(ctx context.Context, address string, c Call) (Answer, error)
}

// Space is a keyvalue.Space with two ways.
type Space struct {
	Direct  keyvalue.Space
	Peers   Peers
	Others  func() []string
	Timer   timer.Service
	Journal *journal.Journal

	mu    sync.Mutex
	bad   timer.Instant
	isBad bool
	turn  chan struct{}
}

// direct reports whether the direct way is to be tried first, and returns a
// channel that is closed when it turns bad.
func (s *Space) direct() (bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.turn == nil {
		s.turn = make(chan struct{})
	}
	return !s.isBad || s.Timer.Now().Sub(s.bad) >= badFor, s.turn
}

// note takes the outcome of a call on the direct way.
func (s *Space) note(err error) {
	failed := away(err)
	s.mu.Lock()
	was := s.isBad
	s.isBad = failed
	if failed {
		s.bad = s.Timer.Now()
		if !was && s.turn != nil {
			close(s.turn)
			s.turn = nil
		}
	}
	s.mu.Unlock()
	switch {
	case failed && !was:
		s.Journal.Trouble("dependency lost", err, log.Fields{
			"dependency": "key-value service, direct way",
		})
	case !failed && was:
		s.Journal.Event("dependency regained", log.Fields{
			"dependency": "key-value service, direct way",
		})
	}
}

// away reports whether an error says that the service was not reached or did
// not answer.
func away(err error) bool {
	return errors.Is(err, keyvalue.ErrDown) || errors.Is(err, keyvalue.ErrBusy) || errors.Is(err, keyvalue.ErrLost) ||
		errors.Is(err, context.DeadlineExceeded)
}

// do makes a call on the ways that there are.
func (s *Space) do(ctx context.Context, c Call) (Answer, error) {
	first, _ := s.direct()
	var a Answer
	var err error
	if first {
		if a, err = s.straight(ctx, c); !away(err) || ctx.Err() != nil {
			return a, err
		}
	}
	lost := errors.Is(err, keyvalue.ErrLost)
	for _, address := range s.some() {
		call, cancel := context.WithTimeout(ctx, peerTimeout)
		through, perr := s.Peers.Call(call, address, c)
		cancel()
		if perr == nil && !away(through.Err()) {
			s.Journal.Detail("detour", log.Fields{
				"call":    c.Kind.String(),
				"through": address,
			})
			return through, through.Err()
		}
		if perr == nil {
			perr = through.Err()
		}
		lost = lost || !errors.Is(perr, keyvalue.ErrDown)
		err = perr
		if ctx.Err() != nil {
			break
		}
	}
	if !first && ctx.Err() == nil {
		a, derr := s.straight(ctx, c)
		if !away(derr) {
			return a, derr
		}
		lost = lost || errors.Is(derr, keyvalue.ErrLost)
		err = derr
	}
	if err == nil {
		err = ctx.Err()
	}
	if lost && !errors.Is(err, keyvalue.ErrLost) {
		err = errors.Join(keyvalue.ErrLost, err)
	}
	return Answer{}, err
}

// straight makes a call on the direct way.
func (s *Space) straight(ctx context.Context, c Call) (Answer, error) {
	call, cancel := context.WithTimeout(ctx, directTimeout)
	defer cancel()
	a := c.At(call, s.Direct)
	err := a.Err()
	if ctx.Err() == nil || err == nil {
		s.note(err)
	}
	return a, err
}

// some returns a few other instances.
func (s *Space) some() []string {
	others := s.Others()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(len(others), triesThrough)]
}

// Watch implements keyvalue.Space. It waits on one way only; when that one
// fails the caller lists again, on the other one.
func (s *Space) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]keyvalue.Change, uint64, error) {
	first, turned := s.direct()
	c := Call{
		Kind:   KindWatch,
		Key:    prefix,
		After:  after,
		WaitMS: wait.Milliseconds(),
	}
	ctx, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	if !first {
		return s.watchThrough(ctx, c)
	}
	go func() {
		select {
		case <-turned:
			cancel()
		case <-ctx.Done():
		}
	}()
	a := c.At(ctx, s.Direct)
	return a.Changes, a.Revision, a.Err()
}

func (s *Space) watchThrough(ctx context.Context, c Call) ([]keyvalue.Change, uint64, error) {
	others := s.some()
	if len(others) == 0 {
		return nil, 0, keyvalue.ErrDown
	}
	// A short wait brings the watch back to the direct way soon after that is
	// good again.
	c.WaitMS = min(c.WaitMS, badFor.Milliseconds())
	a, err := s.Peers.Call(ctx, others[0], c)
	if err != nil {
		return nil, 0, err
	}
	return a.Changes, a.Revision, a.Err()
}

// Get implements keyvalue.Space.
func (s *Space) Get(ctx context.Context, key string) (keyvalue.Item, error) {
	a, err := s.do(ctx, Call{
		Kind: KindGet,
		Key:  key,
	})
	return a.Item, err
}

// Range implements keyvalue.Space.
func (s *Space) Range(ctx context.Context, prefix string, f keyvalue.Freshness) (keyvalue.Listing, error) {
	a, err := s.do(ctx, Call{
		Kind:  KindRange,
		Key:   prefix,
		Stale: bool(f),
	})
	return a.Listing, err
}

// Commit implements keyvalue.Space.
func (s *Space) Commit(ctx context.Context, tx keyvalue.Transaction) (uint64, error) {
	a, err := s.do(ctx, Call{
		Kind:        KindCommit,
		Transaction: tx,
	})
	return a.Revision, err
}

// Grant implements keyvalue.Space.
func (s *Space) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	a, err := s.do(ctx, Call{
		Kind:   KindGrant,
		WaitMS: ttl.Milliseconds(),
	})
	return a.Lease, err
}

// KeepAlive implements keyvalue.Space.
func (s *Space) KeepAlive(ctx context.Context, lease uint64) error {
	_, err := s.do(ctx, Call{
		Kind:  KindKeepAlive,
		Lease: lease,
	})
	return err
}

// Revoke implements keyvalue.Space.
func (s *Space) Revoke(ctx context.Context, lease uint64) error {
	_, err := s.do(ctx, Call{
		Kind:  KindRevoke,
		Lease: lease,
	})
	return err
}
