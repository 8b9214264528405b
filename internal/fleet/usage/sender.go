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

// Delays and timeouts of sending.
const (
	// batchDelay is how long counts are gathered before they are sent. An instance
	// that loses power loses the counts of this time.
	batchDelay = 250 * time.Millisecond
	// sendTimeout is the time limit of a call to one collector.
	sendTimeout = 500 * time.Millisecond
	// retryDelay is the delay before counts that a collector did not accept are sent
	// again.
	retryDelay = 500 * time.Millisecond
)

// Peers calls the collectors of other instances.
type Peers interface {
	Store(ctx context.Context, address string, r Record) error
	Find(ctx context.Context, address string, w Window) ([]Record, error)
}

// Sender sends the counts of this instance to the collectors.
type Sender struct {
	Meter *Meter
	// Collectors returns the peer addresses of the collectors to send to.
	Collectors func() []string
	Peers      Peers
	Timer      timer.Service
	Journal    *journal.Journal

	wake wake.Signal
	mu   sync.Mutex
	// acked is the sequence number of the last record that each collector accepted,
	// by address.
	acked map[string]uint64
}

// Wake makes Run send the counts. It is called after a change.
func (s *Sender) Wake() { s.wake.Set() }

// Run sends counts to the collectors until t dies. Once per window it sends all recent
// counts again, since a collector may have been replaced.
func (s *Sender) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	ticker := s.Timer.Every(s.Meter.WindowLength)
	defer ticker.Close()
	for {
		select {
		case <-s.wake.C():
			timer.Wait(s.Timer, batchDelay, t.Dying())
		case <-ticker.C:
			s.resetAcks()
		case <-t.Dying():
			return nil
		}
		if !s.Send(ctx) {
			timer.Wait(s.Timer, retryDelay, t.Dying())
			s.Wake()
		}
	}
}

// resetAcks makes the next call of Send send to all collectors.
func (s *Sender) resetAcks() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acked = nil
}

// Send sends the record of this instance to the collectors that may not have it, and reports
// whether all of them have it now.
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
				s.Journal.Debug("usage not sent", log.Fields{
					"collector": address,
					"error":     err.Error(),
				})
			}
		})
	}
	wg.Wait()
	return !failed.Load()
}

// send sends a record to one collector, unless the collector has it already.
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

// PeerClient implements Peers by calls to other instances.
type PeerClient struct {
	Client *peer.Client
}

// Store implements Peers.
func (p *PeerClient) Store(ctx context.Context, address string, r Record) error {
	var accepted bool
	return p.Client.Call(ctx, address, rpcService+".Store", &r, &accepted)
}

// Find implements Peers.
func (p *PeerClient) Find(ctx context.Context, address string, w Window) ([]Record, error) {
	var records []Record
	err := p.Client.Call(ctx, address, rpcService+".Find", &w, &records)
	return records, err
}
