package kvfallback

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

// Timeouts, pauses and limits of both paths.
const (
	// directTimeout is how long a call on the direct path may take before other
	// instances are tried. A slow service takes 60 times its usual 4 ms.
	directTimeout = 500 * time.Millisecond
	// listTimeout is how long a listing may take on either path: a large batch is
	// some megabytes, and the links of small instances carry five in a second.
	listTimeout = 2 * time.Second
	// peerTimeout is how long a call through one other instance may take.
	peerTimeout = 400 * time.Millisecond
	// directRetryInterval is how long after a failure the direct path is not tried
	// first.
	directRetryInterval = time.Second
	// peerBytesPerSecond is the assumed bandwidth to another instance: a tenth of the
	// link of an instance that is eligible for batches, which carries other traffic as
	// well.
	peerBytesPerSecond = 2 << 20
	// maxPeersTried is how many other instances are tried for one call. The service
	// may reject the calls of a third of them; these report it at once.
	maxPeersTried = 4
	// watchSlack is how much longer than asked a direct watch may take.
	watchSlack = 3 * time.Second
	// peerWatchWait is how long a watch waits at another instance. With short waits
	// it soon returns to the direct path, and soon leaves an instance that died.
	peerWatchWait = 600 * time.Millisecond
	// outagePause is how long no call is made after all paths failed: every call is
	// billed, even one that the service does not answer.
	outagePause = 700 * time.Millisecond
	// peerAvoidTime is how long an instance that failed a call is not tried again.
	peerAvoidTime = 3 * time.Second
)

// Peers asks other instances to make calls to the service.
type Peers interface {
	Call(ctx context.Context, address string, c Call) (Reply, error)
}

// Store is a keyvalue.TransactionalStore that uses the direct path or, while that fails,
// other instances.
type Store struct {
	Direct keyvalue.TransactionalStore
	Peers  Peers
	// PeerAddresses returns the addresses of the other instances.
	PeerAddresses func() []string
	// ConfinedTo returns the addresses of the only instances through which calls on a key may
	// go, and whether the key is confined to them. Nil means that none is.
	ConfinedTo func(key string) (addresses []string, confined bool)
	Timer      timer.Service
	Journal    *journal.Journal
	// OnDirectLost is called when the direct path fails after it worked. It may be nil.
	OnDirectLost func()

	mu             sync.Mutex
	directFailedAt timer.Instant
	directFailed   bool
	// failedCallBegan is when the last failed call on the direct path began.
	failedCallBegan timer.Instant
	pausedUntil     timer.Instant
	// avoidUntil holds the end of the exclusion of instances, by address.
	avoidUntil map[string]timer.Instant
	// directLost is closed when the direct path fails after it worked.
	directLost chan struct{}
}

// TriesDirectFirst reports whether to try the direct path first: the last call on it was
// answered, or failed at least directRetryInterval ago. While it is false, calls of
// other instances are rejected at once, without a call of the service.
func (s *Store) TriesDirectFirst() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.directFailed || s.Timer.Now().Sub(s.directFailedAt) >= directRetryInterval
}

// DirectOK reports whether the last call on the direct path was answered.
func (s *Store) DirectOK() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.directFailed
}

// sinceDirectFailed returns the time since the start of the last call on the direct path that
// failed.
func (s *Store) sinceDirectFailed() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Timer.Now().Sub(s.failedCallBegan)
}

// paused reports whether all paths failed within the last outagePause.
func (s *Store) paused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Timer.Now() < s.pausedUntil
}

// pause stops all calls for outagePause.
func (s *Store) pause() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pausedUntil = s.Timer.Now().Add(outagePause)
}

// avoidPeer excludes an instance for peerAvoidTime.
func (s *Store) avoidPeer(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.avoidUntil == nil {
		s.avoidUntil = make(map[string]timer.Instant)
	}
	s.avoidUntil[address] = s.Timer.Now().Add(peerAvoidTime)
}

// directState returns whether the last call on the direct path failed, and a channel
// that is closed when that path fails after it worked.
func (s *Store) directState() (failed bool, lost <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.directLost == nil {
		s.directLost = make(chan struct{})
	}
	return s.directFailed, s.directLost
}

// recordDirect records the result of a call on the direct path that began at an instant. If
// the path failed after it worked, it ends the watches on it and calls OnDirectLost.
func (s *Store) recordDirect(err error, began timer.Instant) {
	failed := unavailable(err)
	s.mu.Lock()
	failedBefore := s.directFailed
	s.directFailed = failed
	if failed {
		s.directFailedAt = s.Timer.Now()
		s.failedCallBegan = began
		if !failedBefore && s.directLost != nil {
			close(s.directLost)
			s.directLost = nil
		}
	}
	s.mu.Unlock()
	switch {
	case failed && !failedBefore:
		if s.OnDirectLost != nil {
			s.OnDirectLost()
		}
		s.Journal.Warn("dependency lost", err, log.Fields{
			"dependency": "key-value service, direct way",
		})
	case !failed && failedBefore:
		s.Journal.Info("dependency regained", log.Fields{
			"dependency": "key-value service, direct way",
		})
	}
}

// unavailable reports whether an error means that the service was not reached, refused
// the call or did not answer.
func unavailable(err error) bool {
	return errors.Is(err, keyvalue.ErrUnavailable) || errors.Is(err, keyvalue.ErrRateLimited) || errors.Is(err, keyvalue.ErrOutcomeUnknown) ||
		errors.Is(err, context.DeadlineExceeded)
}

// do makes a call on the direct path and through other instances, in the order that
// TriesDirectFirst gives, until one path answers.
func (s *Store) do(ctx context.Context, c Call) (Reply, error) {
	if s.paused() {
		return Reply{}, keyvalue.ErrUnavailable
	}
	paths := []func(context.Context, Call) (Reply, error){s.callPeers, s.callDirect}
	if s.TriesDirectFirst() {
		paths[0], paths[1] = paths[1], paths[0]
	}
	var errs []error
	for _, path := range paths {
		reply, err := path(ctx, c)
		if !unavailable(err) {
			return reply, err
		}
		errs = append(errs, err)
		if ctx.Err() != nil {
			return Reply{}, combineErrors(errs)
		}
	}
	if _, confined := s.confinedTo(c); !confined {
		s.pause()
	}
	return Reply{}, combineErrors(errs)
}

// combineErrors joins the errors of all attempts at a call. If any of them is neither
// ErrUnavailable nor ErrRateLimited, the call may have taken effect, and the result is
// ErrOutcomeUnknown.
func combineErrors(errs []error) error {
	for _, err := range errs {
		if !errors.Is(err, keyvalue.ErrUnavailable) && !errors.Is(err, keyvalue.ErrRateLimited) {
			return errors.Join(keyvalue.ErrOutcomeUnknown, err)
		}
	}
	return errors.Join(errs...)
}

// callPeers makes a call through other instances, one after the other.
func (s *Store) callPeers(ctx context.Context, c Call) (Reply, error) {
	var errs []error
	for _, address := range s.pickPeers(c) {
		callCtx, cancel := context.WithTimeout(ctx, c.timeout(peerTimeout)+c.transferTime())
		reply, err := s.Peers.Call(callCtx, address, c)
		cancel()
		if err != nil {
			s.avoidPeer(address)
		} else if err = reply.Err(); !unavailable(err) {
			s.Journal.Debug("detour", log.Fields{
				"call":    c.Kind.String(),
				"through": address,
			})
			return reply, err
		}
		errs = append(errs, err)
		if ctx.Err() != nil {
			break
		}
	}
	if len(errs) == 0 {
		return Reply{}, keyvalue.ErrUnavailable
	}
	return Reply{}, combineErrors(errs)
}

// callDirect makes a call on the direct path.
func (s *Store) callDirect(ctx context.Context, c Call) (Reply, error) {
	callCtx, cancel := context.WithTimeout(ctx, c.timeout(directTimeout)+c.transferTime())
	defer cancel()
	began := s.Timer.Now()
	reply := c.MakeAt(callCtx, s.Direct)
	err := reply.Err()
	if ctx.Err() == nil || err == nil {
		s.recordDirect(err, began)
	}
	return reply, err
}

// confinedTo returns the addresses of the only instances through which a call may go, and
// whether it is confined to them.
func (s *Store) confinedTo(c Call) ([]string, bool) {
	if s.ConfinedTo == nil {
		return nil, false
	}
	for _, key := range c.keys() {
		if addresses, confined := s.ConfinedTo(key); confined {
			return addresses, true
		}
	}
	return nil, false
}

// pickPeers returns up to maxPeersTried other instances in random order, without those
// that failed within peerAvoidTime.
func (s *Store) pickPeers(c Call) []string {
	addresses, confined := s.confinedTo(c)
	if !confined {
		addresses = s.PeerAddresses()
	}
	now := s.Timer.Now()
	s.mu.Lock()
	var peers []string
	for _, address := range addresses {
		if now >= s.avoidUntil[address] {
			peers = append(peers, address)
		}
	}
	s.mu.Unlock()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(len(peers), maxPeersTried)]
}
