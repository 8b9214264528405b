package standby

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/batch/ledger"
	"github.com/egretbend/egretbend/internal/kernel/journal"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/residency"
)

// Intervals of heartbeats.
const (
	// busyInterval is how often an instance with open batches or urgent work sends its
	// changes.
	busyInterval = 200 * time.Millisecond
	// idleInterval is how often any other instance shows that it is alive. Callers keep
	// trying the address of an instance that lost power until the loss is detected.
	idleInterval = 500 * time.Millisecond
)

// Work gives access to the batches of an owner.
type Work interface {
	// Busy reports whether any batch is open.
	Busy() bool
	// Changes returns the open batches, their changes since the marks of a receiver, and
	// the marks of the receiver once it has these changes. It leaves out the batches for which
	// skip returns true; a nil skip leaves out none.
	Changes(since Marks, skip func(batch string) bool) (open []string, deltas []BatchDelta, after Marks)
}

// Sender sends heartbeats to the successors of this instance.
type Sender struct {
	Self ledger.Owner
	// Lease returns the number of this instance's lease.
	Lease func() uint64
	Work  Work
	// HasUrgentWork reports whether this instance has other work whose loss must be detected as
	// soon as that of batches.
	HasUrgentWork func() bool
	// Successors returns the peer addresses of the instances that would take over.
	Successors func() []string
	// Restrictions returns the regions in which each open batch may be stored, by batch, or nil
	// if all batches may be stored anywhere. Nil means that all may.
	Restrictions func() map[string]residency.Regions
	// RegionSuccessors returns the peer addresses of the instances that would take over batches
	// which may be stored only in some regions.
	RegionSuccessors func(residency.Regions) []string
	Peers            Peers
	Timer            timer.Service
	Journal          *journal.Journal

	mu sync.Mutex
	// marks are the marks of each successor by address; nil or missing means that it has
	// nothing yet or reported a gap.
	marks map[string]Marks
	// sending holds the successors to which a heartbeat is under way.
	sending map[string]bool
}

// Run sends heartbeats until t dies.
func (s *Sender) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	for t.Alive() {
		timer.Wait(s.Timer, s.sendHeartbeats(ctx, false), t.Dying())
	}
	return nil
}

// SendFinal sends all changes to all successors, and that this instance stops.
func (s *Sender) SendFinal(ctx context.Context) {
	leaves := s.Work.Busy() || s.HasUrgentWork()
	var wg sync.WaitGroup
	p := s.newPlan(s.Successors())
	for _, address := range p.addresses() {
		wg.Go(func() { s.send(ctx, p, address, 0, leaves) })
	}
	wg.Wait()
}

// sendHeartbeats sends one heartbeat to each successor and returns the time until the next
// one. Unless wait is set it does not wait for the sends, so that a successor that lost
// power does not delay the others. An idle instance sends to its first successor only.
func (s *Sender) sendHeartbeats(ctx context.Context, wait bool) time.Duration {
	interval := idleInterval
	successors := s.Successors()
	if s.Work.Busy() || s.HasUrgentWork() {
		interval = busyInterval
	} else {
		successors = successors[:min(1, len(successors))]
	}
	var wg sync.WaitGroup
	p := s.newPlan(successors)
	due, former := s.startSends(p.addresses())
	for _, address := range former {
		wg.Go(func() { s.send(ctx, p, address, 0, false) })
	}
	for _, address := range due {
		wg.Go(func() {
			s.send(ctx, p, address, interval, false)
			s.mu.Lock()
			defer s.mu.Unlock()
			delete(s.sending, address)
		})
	}
	if wait {
		wg.Wait()
	}
	return interval
}

// startSends returns the successors that get a heartbeat now, which are those without one
// under way, and the former successors, which would otherwise miss the heartbeats.
func (s *Sender) startSends(successors []string) (due, former []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.marks == nil {
		s.marks = make(map[string]Marks)
		s.sending = make(map[string]bool)
	}
	for address := range s.marks {
		if !slices.Contains(successors, address) {
			delete(s.marks, address)
			former = append(former, address)
		}
	}
	for _, address := range successors {
		if !s.sending[address] {
			s.sending[address] = true
			due = append(due, address)
		}
	}
	return due, former
}

// send sends one heartbeat and updates the marks of the successor.
func (s *Sender) send(ctx context.Context, p plan, address string, interval time.Duration, leaves bool) {
	s.mu.Lock()
	since := s.marks[address]
	s.mu.Unlock()
	open, deltas, after := s.Work.Changes(since, func(batch string) bool { return !p.receives(address, batch) })
	err := s.Peers.Send(ctx, address, Heartbeat{
		Owner:     s.Self,
		Lease:     s.Lease(),
		Open:      open,
		Every:     interval,
		Leaves:    leaves,
		Deltas:    deltas,
		UnixMicro: time.Now().UnixMicro(),

		SuccessorRank: p.rank(address),
	})
	switch {
	case err == nil:
	case errors.Is(err, ErrGap):
		s.Journal.Debug("successor lacks events", log.Fields{
			"successor": address,
			"batches":   len(open),
		})
		after = nil
	default:
		s.Journal.Debug("copy not sent", log.Fields{
			"successor": address,
			"error":     err.Error(),
		})
		// How much of the heartbeat arrived is unknown; the next one repeats the changes since
		// the last marks that are certain.
		after = since
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if interval > 0 {
		s.marks[address] = after
	}
}
