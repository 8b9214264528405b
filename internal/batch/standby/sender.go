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
)

// The times of heartbeats.
const (
	// workEvery is how often an owner at work sends what is new.
	workEvery = 200 * time.Millisecond
	// restEvery is how often any other instance shows that it lives. Callers go on
	// trying the address of one that lost power until it is found out.
	restEvery = 500 * time.Millisecond
)

// Work is the batches of an owner.
type Work interface {
	// Busy reports whether any batch is open.
	Busy() bool
	// Changes returns the open batches, what is new of them since the marks, and
	// the marks of one that has it.
	Changes(had Marks) (open []string, news []Delta, has Marks)
}

// Sender sends heartbeats to the successors of this instance.
type Sender struct {
	Self ledger.Owner
	// Lease returns the number of this instance's lease.
	Lease func() uint64
	Work  Work
	// Urgent reports whether this instance has other work that waits for nobody.
	Urgent func() bool
	// Successors returns the peer addresses of those that would take over.
	Successors func() []string
	Peers      Peers
	Timer      timer.Service
	Journal    *journal.Journal

	mu sync.Mutex
	// marks are what each successor has; missing ones were never reached.
	marks map[string]Marks
	// sending are the successors to which a heartbeat is under way.
	sending map[string]bool
}

// Run sends heartbeats until t dies.
func (s *Sender) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	for t.Alive() {
		timer.Wait(s.Timer, s.beat(ctx, false), t.Dying())
	}
	return nil
}

// Leave sends all successors what this instance has, and that it stops.
func (s *Sender) Leave(ctx context.Context) {
	leaves := s.Work.Busy() || s.Urgent()
	var wg sync.WaitGroup
	for _, address := range s.Successors() {
		wg.Go(func() { s.send(ctx, address, 0, leaves) })
	}
	wg.Wait()
}

// beat sends one heartbeat to the successors, and returns when the next one is due.
// It waits for none of them: one that lost power would hold up what the other gets.
// Without work the first successor alone gets it.
func (s *Sender) beat(ctx context.Context, wait bool) time.Duration {
	every := restEvery
	successors := s.Successors()
	if s.Work.Busy() || s.Urgent() {
		every = workEvery
	} else {
		successors = successors[:min(1, len(successors))]
	}
	var wg sync.WaitGroup
	begin, former := s.begin(successors)
	for _, address := range former {
		wg.Go(func() { s.send(ctx, address, 0, false) })
	}
	for _, address := range begin {
		wg.Go(func() {
			s.send(ctx, address, every, false)
			s.mu.Lock()
			defer s.mu.Unlock()
			delete(s.sending, address)
		})
	}
	if wait {
		wg.Wait()
	}
	return every
}

// begin returns the successors that get a heartbeat now, those to which none is under
// way, and the former ones, which would miss it.
func (s *Sender) begin(successors []string) (begin, former []string) {
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
			begin = append(begin, address)
		}
	}
	return begin, former
}

// send sends one heartbeat and notes what the successor has then.
func (s *Sender) send(ctx context.Context, address string, every time.Duration, leaves bool) {
	s.mu.Lock()
	had := s.marks[address]
	s.mu.Unlock()
	open, news, has := s.Work.Changes(had)
	err := s.Peers.Send(ctx, address, Heartbeat{
		Owner:     s.Self,
		Lease:     s.Lease(),
		Open:      open,
		Every:     every,
		Leaves:    leaves,
		Deltas:    news,
		UnixMicro: time.Now().UnixMicro(),
	})
	switch {
	case err == nil:
	case errors.Is(err, ErrGap):
		has = nil
	default:
		s.Journal.Detail("copy not sent", log.Fields{
			"successor": address,
			"error":     err.Error(),
		})
		// What of it arrived is not known; what the successor surely has is sent on
		// from there once more.
		has = had
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if every > 0 {
		s.marks[address] = has
	}
}
