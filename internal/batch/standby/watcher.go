package standby

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/batch/ledger"
	"github.com/egretbend/egretbend/internal/kernel/journal"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/kernel/wake"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
)

// The times of the watch.
const (
	// watchEvery is how often the owners' silence is looked at.
	watchEvery = 100 * time.Millisecond
	// turnTime is how much later the second successor acts than the first, and so
	// on: one of them is enough.
	turnTime = 500 * time.Millisecond
	// endTimeout bounds the end of a lost owner's lease.
	endTimeout = 600 * time.Millisecond
	// askPause is the pause between two questions about the same owner.
	askPause = 300 * time.Millisecond
)

// Watcher watches the owners whose copies this instance holds.
type Watcher struct {
	Copies *Copies
	Peers  Peers
	Space  keyvalue.Space
	// Held reports whether this instance's own lease stands: one that does not reach
	// the service judges nobody.
	Held func() bool
	// Rank returns the place of this instance among the successors of another, 0
	// for the first.
	Rank func(instance string) int
	// Observers returns the peer addresses of instances that may ask as well.
	Observers func(instance string) []string
	// Lost is called when an owner is lost and its lease has ended.
	Lost    func(owner ledger.Owner, batches []string)
	Timer   timer.Service
	Journal *journal.Journal

	mu sync.Mutex
	// asking are the instances about which questions are under way, or were a
	// moment ago.
	asking map[string]bool
	wake   wake.Signal
}

// Heard wakes the watch.
func (w *Watcher) Heard() { w.wake.Set() }

// Run watches until t dies. While nobody sends heartbeats nothing wakes it.
func (w *Watcher) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	for {
		select {
		case <-w.wake.C():
		case <-t.Dying():
			return nil
		}
		for t.Alive() && w.look(ctx) {
			timer.Wait(w.Timer, watchEvery, t.Dying())
		}
	}
}

// look asks about the owners that are silent, and reports whether any is watched.
func (w *Watcher) look(ctx context.Context) bool {
	any := false
	now := w.Timer.Now()
	for _, h := range w.Copies.heard() {
		if h.Heartbeat.Every == 0 && !h.Heartbeat.Leaves {
			w.Copies.forget(h.Heartbeat.Owner)
			continue
		}
		rank := w.Rank(h.Heartbeat.Owner.Instance)
		if rank < 0 {
			// Others succeed it now, and it sends its heartbeats to them.
			w.Copies.forget(h.Heartbeat.Owner)
			continue
		}
		any = true
		e := Evidence{
			Silence: now.Sub(h.At) - time.Duration(rank)*turnTime,
			Every:   h.Heartbeat.Every,
			Leaves:  h.Heartbeat.Leaves && now.Sub(h.At) > askPause,
		}
		if e.Suspect() && w.Held() && w.begin(h.Heartbeat.Owner.Instance) {
			go w.judge(ctx, h, e)
		}
	}
	return any
}

// begin reports whether nobody asks about an instance yet.
func (w *Watcher) begin(instance string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.asking[instance] {
		return false
	}
	if w.asking == nil {
		w.asking = make(map[string]bool)
	}
	w.asking[instance] = true
	return true
}

func (w *Watcher) finish(instance string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.asking, instance)
}

// judge asks about an owner, and takes over from it if it is lost.
func (w *Watcher) judge(ctx context.Context, h Heard, e Evidence) {
	owner := h.Heartbeat.Owner
	defer w.finish(owner.Instance)
	e = w.ask(ctx, owner, e)
	lost, why := e.Lost()
	if w.Copies.heardSince(owner, h.At) {
		lost, why = false, "its heartbeat came meanwhile"
	}
	others := make([]string, len(e.Others))
	for i, a := range e.Others {
		others[i] = a.String()
	}
	w.Journal.Decision("judge_owner", log.Fields{
		"owner":      owner.Instance,
		"lost":       lost,
		"reason":     why,
		"own":        e.Own.String(),
		"others":     strings.Join(others, " "),
		"silence_ms": w.Timer.Now().Sub(h.At).Milliseconds(),
		"batches":    strings.Join(h.Heartbeat.Open, " "),
	})
	switch {
	case lost:
		w.end(ctx, h)
	case e.Own == Replaced:
		w.Copies.forget(owner)
	default:
		w.Copies.answered(owner, w.Timer.Now())
	}
}

// ask asks the owner, and has others ask at the same time.
func (w *Watcher) ask(ctx context.Context, owner ledger.Owner, e Evidence) Evidence {
	observers := w.Observers(owner.Instance)
	e.Others = make([]Answer, len(observers))
	var wg sync.WaitGroup
	for i, observer := range observers {
		wg.Go(func() { e.Others[i] = w.Peers.Observe(ctx, observer, owner.Address, owner.Incarnation) })
	}
	e.Own = w.Peers.Ask(ctx, owner.Address, owner.Incarnation)
	wg.Wait()
	return e
}

// end ends the lease of a lost owner, so that it can't go on as if it had its
// batches, and has them taken over.
func (w *Watcher) end(ctx context.Context, h Heard) {
	ctx, cancel := context.WithTimeout(ctx, endTimeout)
	defer cancel()
	if h.Heartbeat.Lease != 0 {
		if err := w.Space.Revoke(ctx, h.Heartbeat.Lease); err != nil && !errors.Is(err, keyvalue.ErrLeaseGone) {
			w.Journal.Trouble("lease of a lost owner not ended", err, log.Fields{
				"owner": h.Heartbeat.Owner.Instance,
			})
			timer.Wait(w.Timer, askPause, ctx.Done())
			return
		}
	}
	w.Copies.forget(h.Heartbeat.Owner)
	w.Lost(h.Heartbeat.Owner, h.Heartbeat.Open)
}
