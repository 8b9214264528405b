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
	// listTimeout is what a listing may take on either way: a large batch is
	// some megabytes, and the links of small instances carry five in a second.
	listTimeout = 2 * time.Second
	// peerTimeout is how long one other instance may take.
	peerTimeout = 400 * time.Millisecond
	// badFor is how long the direct way is not tried first after a failure.
	badFor = time.Second
	// peerBytes is what another instance passes on in a second: a tenth of the
	// link of an able one, over which other work goes as well.
	peerBytes = 2 << 20
	// triesThrough is how many other instances are tried for one call. The
	// service may turn a third of them away; those say so at once.
	triesThrough = 4
	// watchSlack is how much longer than asked a direct watch may take.
	watchSlack = 3 * time.Second
	// watchThrough is how long a watch waits at another instance. Short waits
	// bring it back to the direct way soon, and a dead instance is left soon.
	watchThrough = 600 * time.Millisecond
	// restFor is how long nothing is sent after all ways failed: every call is
	// priced, also one that the service does not answer.
	restFor = 700 * time.Millisecond
	// shunFor is how long an instance that failed a call is not asked again.
	shunFor = 3 * time.Second
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
	// Turned is called when the direct way turns bad; nil is not called.
	Turned func()

	mu    sync.Mutex
	bad   timer.Instant
	isBad bool
	rests timer.Instant
	shun  map[string]timer.Instant
	turn  chan struct{}
}

// Fresh reports whether the direct way works as far as is known, and so is to be
// tried first. Other instances are told at once when it doesn't, without a call
// of the service.
func (s *Space) Fresh() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.isBad || s.Timer.Now().Sub(s.bad) >= badFor
}

// Good reports whether the last call on the direct way was answered.
func (s *Space) Good() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.isBad
}

// resting reports whether all ways failed a moment ago.
func (s *Space) resting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Timer.Now() < s.rests
}

// rest stops all calls for a while.
func (s *Space) rest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rests = s.Timer.Now().Add(restFor)
}

// avoid leaves an instance out for a while.
func (s *Space) avoid(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shun == nil {
		s.shun = make(map[string]timer.Instant)
	}
	s.shun[address] = s.Timer.Now().Add(shunFor)
}

// turning returns whether the last call on the direct way failed, and a channel
// that is closed when that way turns bad.
func (s *Space) turning() (bad bool, turned <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.turn == nil {
		s.turn = make(chan struct{})
	}
	return s.isBad, s.turn
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
		if s.Turned != nil {
			s.Turned()
		}
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
	if s.resting() {
		return Answer{}, keyvalue.ErrDown
	}
	ways := []func(context.Context, Call) (Answer, error){s.through, s.straight}
	if s.Fresh() {
		ways[0], ways[1] = ways[1], ways[0]
	}
	var errs []error
	for _, way := range ways {
		a, err := way(ctx, c)
		if !away(err) {
			return a, err
		}
		errs = append(errs, err)
		if ctx.Err() != nil {
			return Answer{}, worst(errs)
		}
	}
	s.rest()
	return Answer{}, worst(errs)
}

// worst returns the error that leaves most open: a call that was lost on any
// way may have been done.
func worst(errs []error) error {
	for _, err := range errs {
		if !errors.Is(err, keyvalue.ErrDown) && !errors.Is(err, keyvalue.ErrBusy) {
			return errors.Join(keyvalue.ErrLost, err)
		}
	}
	return errors.Join(errs...)
}

// through makes a call by way of other instances.
func (s *Space) through(ctx context.Context, c Call) (Answer, error) {
	var errs []error
	for _, address := range s.some() {
		call, cancel := context.WithTimeout(ctx, c.limit(peerTimeout)+c.passes())
		a, err := s.Peers.Call(call, address, c)
		cancel()
		if err != nil {
			s.avoid(address)
		} else if err = a.Err(); !away(err) {
			s.Journal.Detail("detour", log.Fields{
				"call":    c.Kind.String(),
				"through": address,
			})
			return a, err
		}
		errs = append(errs, err)
		if ctx.Err() != nil {
			break
		}
	}
	if len(errs) == 0 {
		return Answer{}, keyvalue.ErrDown
	}
	return Answer{}, worst(errs)
}

// straight makes a call on the direct way.
func (s *Space) straight(ctx context.Context, c Call) (Answer, error) {
	call, cancel := context.WithTimeout(ctx, c.limit(directTimeout)+c.passes())
	defer cancel()
	a := c.At(call, s.Direct)
	err := a.Err()
	if ctx.Err() == nil || err == nil {
		s.note(err)
	}
	return a, err
}

// some returns a few other instances that have not failed lately.
func (s *Space) some() []string {
	now := s.Timer.Now()
	s.mu.Lock()
	var others []string
	for _, address := range s.Others() {
		if now >= s.shun[address] {
			others = append(others, address)
		}
	}
	s.mu.Unlock()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(len(others), triesThrough)]
}

// Watch implements keyvalue.Space. It waits on one way only; when that one
// fails the caller lists again, on the other one.
func (s *Space) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]keyvalue.Change, uint64, error) {
	if s.resting() {
		return nil, 0, keyvalue.ErrDown
	}
	c := Call{
		Kind:   KindWatch,
		Key:    prefix,
		After:  after,
		WaitMS: wait.Milliseconds(),
	}
	bad, turned := s.turning()
	if bad {
		return s.watchElsewhere(ctx, c)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
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

func (s *Space) watchElsewhere(ctx context.Context, c Call) ([]keyvalue.Change, uint64, error) {
	others := s.some()
	if len(others) == 0 {
		return nil, 0, keyvalue.ErrDown
	}
	c.WaitMS = min(c.WaitMS, watchThrough.Milliseconds())
	ctx, cancel := context.WithTimeout(ctx, watchThrough+peerTimeout)
	defer cancel()
	a, err := s.Peers.Call(ctx, others[0], c)
	if err != nil {
		s.avoid(others[0])
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

// Changes returns at once what changed below a prefix after a revision, and the
// revision up to which that is all.
func (s *Space) Changes(ctx context.Context, prefix string, after uint64) ([]keyvalue.Change, uint64, error) {
	a, err := s.do(ctx, Call{
		Kind:  KindWatch,
		Key:   prefix,
		After: after,
	})
	return a.Changes, a.Revision, err
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
