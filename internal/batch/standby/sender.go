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
	// beatEvery is how often an owner at work sends what is new.
	beatEvery = 200 * time.Millisecond
	// restEvery is how often one without work looks for some.
	restEvery = time.Second
)

// Work is the batches of an owner.
type Work interface {
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
	// Busy reports whether this instance has other work that waits for nobody.
	Busy func() bool
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
	// watched says that the successors expect a heartbeat.
	watched bool
}

// Run sends heartbeats until t dies.
func (s *Sender) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	for t.Alive() {
		pause := restEvery
		if s.beat(ctx, false) {
			pause = beatEvery
		}
		timer.Wait(s.Timer, pause, t.Dying())
	}
	return nil
}

// Leave sends all successors what this instance has, and that it stops. One without
// work is not missed.
func (s *Sender) Leave(ctx context.Context) {
	open, _, _ := s.Work.Changes(nil)
	if len(open) == 0 && !s.Busy() {
		return
	}
	var wg sync.WaitGroup
	for _, address := range s.Successors() {
		wg.Go(func() { s.send(ctx, address, true, true) })
	}
	wg.Wait()
}

// beat sends one heartbeat to each successor and reports whether there is work. It
// waits for none of them: one that lost power would hold up what the other gets.
func (s *Sender) beat(ctx context.Context, wait bool) bool {
	open, _, _ := s.Work.Changes(nil)
	busy := len(open) > 0 || s.Busy()
	successors := s.begin(busy)
	var wg sync.WaitGroup
	for _, address := range successors {
		wg.Go(func() {
			s.send(ctx, address, busy, false)
			s.mu.Lock()
			defer s.mu.Unlock()
			delete(s.sending, address)
		})
	}
	if wait {
		wg.Wait()
	}
	return busy
}

// begin returns the successors that get a heartbeat now. The last one of an owner
// says that it is not missed any more.
func (s *Sender) begin(busy bool) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !busy && !s.watched {
		s.marks = nil
		return nil
	}
	s.watched = busy
	if s.marks == nil {
		s.marks = make(map[string]Marks)
		s.sending = make(map[string]bool)
	}
	all := s.Successors()
	for address := range s.marks {
		if !slices.Contains(all, address) {
			delete(s.marks, address)
		}
	}
	free := slices.DeleteFunc(all, func(address string) bool { return s.sending[address] })
	for _, address := range free {
		s.sending[address] = true
	}
	return free
}

// send sends one heartbeat and notes what the successor has then.
func (s *Sender) send(ctx context.Context, address string, busy, leaves bool) {
	s.mu.Lock()
	had := s.marks[address]
	s.mu.Unlock()
	open, news, has := s.Work.Changes(had)
	err := s.Peers.Send(ctx, address, Beat{
		Owner:  s.Self,
		Lease:  s.Lease(),
		Open:   open,
		Busy:   busy,
		Leaves: leaves,
		Deltas: news,
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
	if s.marks != nil {
		s.marks[address] = has
	}
}
