package usage

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/fleet/peer"
	"github.com/egretbend/egretbend/internal/kernel/journal"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/kernel/wake"
)

// The times of sending.
const (
	// gatherTime gathers counts before they are sent. What an instance counted in it
	// is lost if it loses power.
	gatherTime = 250 * time.Millisecond
	// sendTimeout bounds a call to one collector.
	sendTimeout = 500 * time.Millisecond
	// againAfter is how soon what was not taken is sent again.
	againAfter = 500 * time.Millisecond
)

// Peers calls collectors.
type Peers interface {
	Store(ctx context.Context, address string, r Record) error
	Find(ctx context.Context, address string, w Window) ([]Record, error)
}

// Sender sends the collectors what this instance counts.
type Sender struct {
	Meter *Meter
	// Collectors returns the peer addresses of those that keep it.
	Collectors func() []string
	Peers      Peers
	Timer      timer.Service
	Journal    *journal.Journal

	wake wake.Signal
	mu   sync.Mutex
	// acked are the sequences that each collector has.
	acked map[string]uint64
}

// Wake says that there is something to send.
func (s *Sender) Wake() { s.wake.Set() }

// Run sends to the collectors until t dies. All that was counted lately is sent once more
// in each window, as a collector may have been replaced.
func (s *Sender) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	every := s.Timer.Every(s.Meter.Length)
	defer every.Close()
	for {
		select {
		case <-s.wake.C():
			timer.Wait(s.Timer, gatherTime, t.Dying())
		case <-every.C:
			s.forget()
		case <-t.Dying():
			return nil
		}
		if !s.Send(ctx) {
			timer.Wait(s.Timer, againAfter, t.Dying())
			s.Wake()
		}
	}
}

// forget makes the next record go to all collectors.
func (s *Sender) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acked = nil
}

// Send sends the collectors what they may not have, and reports whether all have it.
func (s *Sender) Send(ctx context.Context) bool {
	r := s.Meter.Record()
	if len(r.Windows) == 0 {
		return true
	}
	var wg sync.WaitGroup
	var failed atomic.Bool
	for _, address := range s.Collectors() {
		wg.Go(func() {
			if err := s.send(ctx, address, r); err != nil {
				failed.Store(true)
				s.Journal.Detail("usage not sent", log.Fields{
					"collector": address,
					"error":     err.Error(),
				})
			}
		})
	}
	wg.Wait()
	return !failed.Load()
}

// send sends a record to a collector unless that has it.
func (s *Sender) send(ctx context.Context, address string, r Record) error {
	s.mu.Lock()
	acked := s.acked[address]
	s.mu.Unlock()
	if acked >= r.Sequence {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if err := s.Peers.Store(ctx, address, r); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.acked == nil {
		s.acked = make(map[string]uint64)
	}
	s.acked[address] = r.Sequence
	return nil
}

// PeerCalls implements Peers.
type PeerCalls struct {
	Client *peer.Client
}

// Store implements Peers.
func (p *PeerCalls) Store(ctx context.Context, address string, r Record) error {
	var taken bool
	return p.Client.Call(ctx, address, receiver+".Store", &r, &taken)
}

// Find implements Peers.
func (p *PeerCalls) Find(ctx context.Context, address string, w Window) ([]Record, error) {
	var records []Record
	err := p.Client.Call(ctx, address, receiver+".Find", &w, &records)
	return records, err
}
