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

// Intervals and timeouts of the watch.
const (
	// watchInterval is how often the time since each owner's last heartbeat is checked.
	watchInterval = 100 * time.Millisecond
	// successorDelay is how much later the second successor acts than the first, and so on,
	// since it is enough that one of them acts.
	successorDelay = 500 * time.Millisecond
	// revokeTimeout bounds revoking the lease of a lost owner.
	revokeTimeout = 600 * time.Millisecond
	// askPause is the pause between two inquiries about the same owner.
	askPause = 300 * time.Millisecond
)

// Watcher detects the loss of owners whose copies this instance holds.
type Watcher struct {
	Copies *Copies
	Peers  Peers
	Store  keyvalue.TransactionalStore
	// LeaseValid reports whether this instance's own lease is valid. An instance that does not
	// reach the key-value service declares no owner lost.
	LeaseValid func() bool
	// Rank returns the position of this instance among the successors of another one, 0 for
	// the first, negative if it is none of them.
	Rank func(instance string) int
	// Observers returns the peer addresses of instances that can ask an owner as well.
	Observers func(instance string) []string
	// OnLost is called when an owner is lost and its lease has ended.
	OnLost  func(owner ledger.Owner, batches []string)
	Timer   timer.Service
	Journal *journal.Journal

	mu sync.Mutex
	// inquiries holds the instances that an inquiry is under way about, or was a moment ago.
	inquiries map[string]bool
	wake      wake.Signal
}

// Wake wakes Run after a heartbeat.
func (w *Watcher) Wake() { w.wake.Set() }

// Run watches owners until t dies. It sleeps while no owner sends heartbeats.
func (w *Watcher) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	for {
		select {
		case <-w.wake.C():
		case <-t.Dying():
			return nil
		}
		for t.Alive() && w.checkOwners(ctx) {
			timer.Wait(w.Timer, watchInterval, t.Dying())
		}
	}
}

// checkOwners starts an inquiry about each suspected owner, and reports whether any owner is
// watched.
func (w *Watcher) checkOwners(ctx context.Context) bool {
	watching := false
	now := w.Timer.Now()
	for _, h := range w.Copies.lastHeartbeats() {
		if h.Heartbeat.Every == 0 && !h.Heartbeat.Leaves {
			w.Copies.forgetOwner(h.Heartbeat.Owner)
			continue
		}
		rank := w.Rank(h.Heartbeat.Owner.Instance)
		if rank < 0 && h.Heartbeat.SuccessorRank > 0 {
			rank = h.Heartbeat.SuccessorRank - 1
		}
		if rank < 0 {
			// Other instances are its successors now and get its heartbeats.
			w.Copies.forgetOwner(h.Heartbeat.Owner)
			continue
		}
		watching = true
		e := Evidence{
			Silence: now.Sub(h.At) - time.Duration(rank)*successorDelay,
			Every:   h.Heartbeat.Every,
			Leaves:  h.Heartbeat.Leaves && now.Sub(h.At) > askPause,
		}
		if e.Suspect() && w.LeaseValid() && w.startInquiry(h.Heartbeat.Owner.Instance) {
			go w.runInquiry(ctx, h, e)
		}
	}
	return watching
}

// startInquiry marks an inquiry about an instance as under way. It returns false if one is
// already.
func (w *Watcher) startInquiry(instance string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.inquiries[instance] {
		return false
	}
	if w.inquiries == nil {
		w.inquiries = make(map[string]bool)
	}
	w.inquiries[instance] = true
	return true
}

func (w *Watcher) finishInquiry(instance string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.inquiries, instance)
}

// runInquiry asks an owner, has the observers ask it, and replaces it if it is lost.
func (w *Watcher) runInquiry(ctx context.Context, h LastHeartbeat, e Evidence) {
	owner := h.Heartbeat.Owner
	defer w.finishInquiry(owner.Instance)
	e = w.askAll(ctx, owner, e)
	lost, reason := e.Lost()
	if w.Copies.heardSince(owner, h.At) {
		lost, reason = false, "a heartbeat of the owner arrived during the inquiry"
	}
	others := make([]string, len(e.ObserverAnswers))
	for i, a := range e.ObserverAnswers {
		others[i] = a.String()
	}
	w.Journal.Decision("judge_owner", log.Fields{
		"owner":      owner.Instance,
		"lost":       lost,
		"reason":     reason,
		"own":        e.OwnAnswer.String(),
		"others":     strings.Join(others, " "),
		"silence_ms": w.Timer.Now().Sub(h.At).Milliseconds(),
		"batches":    strings.Join(h.Heartbeat.Open, " "),
	})
	switch {
	case lost:
		w.replaceOwner(ctx, h)
	case e.OwnAnswer == Replaced:
		w.Copies.forgetOwner(owner)
	default:
		w.Copies.recordAnswer(owner, w.Timer.Now())
	}
}

// askAll asks the owner and has the observers ask it at the same time.
func (w *Watcher) askAll(ctx context.Context, owner ledger.Owner, e Evidence) Evidence {
	observers := w.Observers(owner.Instance)
	e.ObserverAnswers = make([]Answer, len(observers))
	var wg sync.WaitGroup
	for i, observer := range observers {
		wg.Go(func() { e.ObserverAnswers[i] = w.Peers.Observe(ctx, observer, owner.Address, owner.Incarnation) })
	}
	e.OwnAnswer = w.Peers.Ask(ctx, owner.Address, owner.Incarnation)
	wg.Wait()
	return e
}

// replaceOwner revokes the lease of a lost owner, so that the owner can't go on as if it still
// owned its batches, and calls OnLost to have the batches taken over.
func (w *Watcher) replaceOwner(ctx context.Context, h LastHeartbeat) {
	ctx, cancel := context.WithTimeout(ctx, revokeTimeout)
	defer cancel()
	if h.Heartbeat.Lease != 0 {
		if err := w.Store.Revoke(ctx, h.Heartbeat.Lease); err != nil && !errors.Is(err, keyvalue.ErrLeaseGone) {
			w.Journal.Warn("lease of a lost owner not ended", err, log.Fields{
				"owner": h.Heartbeat.Owner.Instance,
			})
			timer.Wait(w.Timer, askPause, ctx.Done())
			return
		}
	}
	w.Copies.forgetOwner(h.Heartbeat.Owner)
	w.OnLost(h.Heartbeat.Owner, h.Heartbeat.Open)
}
