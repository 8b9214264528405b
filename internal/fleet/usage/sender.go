package usage

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/fleet/peer"
	"github.com/egretbend/egretbend/internal/kernel/journal"
	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// The times of telling.
const (
	// gatherTime gathers counts before they are told. What an instance counted in it
	// is lost if it loses power.
	gatherTime = 250 * time.Millisecond
	// tellTimeout bounds the telling of one collector.
	tellTimeout = 500 * time.Millisecond
	// againAfter is how soon what was not told is told again.
	againAfter = 500 * time.Millisecond
)

// Peers calls collectors.
type Peers interface {
	Tell(ctx context.Context, address string, r Record) error
	Find(ctx context.Context, address string, w Window) ([]Record, error)
}

// Sender tells the collectors what this instance counts.
type Sender struct {
	Meter *Meter
	// Collectors returns the peer addresses of those that keep it.
	Collectors func() []string
	Peers      Peers
	Timer      timer.Service
	Journal    *journal.Journal

	once  sync.Once
	woken chan struct{}
	mu    sync.Mutex
	told  map[string]uint64
}

func (s *Sender) wake() chan struct{} {
	s.once.Do(func() { s.woken = make(chan struct{}, 1) })
	return s.woken
}

// Wake says that there is something to tell.
func (s *Sender) Wake() {
	select {
	case s.wake() <- struct{}{}:
	default:
	}
}

// Run tells the collectors until t dies. All that was counted lately is told once more
// in each window, as a collector may have been replaced.
func (s *Sender) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	every := s.Timer.Every(s.Meter.Length)
	defer every.Close()
	for {
		select {
		case <-s.wake():
			timer.Wait(s.Timer, gatherTime, t.Dying())
		case <-every.C:
			s.forget()
		case <-t.Dying():
			return nil
		}
		if !s.Tell(ctx) {
			timer.Wait(s.Timer, againAfter, t.Dying())
			s.Wake()
		}
	}
}

// forget makes the next telling a whole one.
func (s *Sender) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.told = nil
}

// Tell tells the collectors what they may not have, and reports whether all have it.
func (s *Sender) Tell(ctx context.Context) bool {
	r := s.Meter.Record()
	if len(r.Windows) == 0 {
		return true
	}
	var wg sync.WaitGroup
	var failed sync.Map
	for _, address := range s.Collectors() {
		s.mu.Lock()
		told := s.told[address]
		s.mu.Unlock()
		if told >= r.Sequence {
			continue
		}
		wg.Go(func() {
			if err := s.tell(ctx, address, r); err != nil {
				failed.Store(address, err)
			}
		})
	}
	wg.Wait()
	all := true
	failed.Range(func(address, err any) bool {
		all = false
		s.Journal.Detail("usage not told", log.Fields{
			"collector": address,
			"error":     err,
		})
		return true
	})
	return all
}

func (s *Sender) tell(ctx context.Context, address string, r Record) error {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	if err := s.Peers.Tell(ctx, address, r); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.told == nil {
		s.told = make(map[string]uint64)
	}
	s.told[address] = r.Sequence
	return nil
}

// PeerCalls implements Peers.
type PeerCalls struct {
	Client *peer.Client
}

// Tell implements Peers.
func (p *PeerCalls) Tell(ctx context.Context, address string, r Record) error {
	var taken bool
	return p.Client.Call(ctx, address, receiver+".Tell", &r, &taken)
}

// Find implements Peers.
func (p *PeerCalls) Find(ctx context.Context, address string, w Window) ([]Record, error) {
	var records []Record
	err := p.Client.Call(ctx, address, receiver+".Find", &w, &records)
	return records, err
}
