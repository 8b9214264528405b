package desk

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/apex/log"
	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/batch/ledger"
	"github.com/egretbend/egretbend/internal/fleet/member"
	"github.com/egretbend/egretbend/internal/fleet/registry"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
)

// The times of takeover.
const (
	// sweepEvery is how often each instance looks for batches without a live
	// owner, in a stale listing that costs a tenth. It finds what the news of a
	// death missed: an owner that died just after it accepted, or an accepted
	// write whose answer was lost.
	sweepEvery = 4 * time.Second
	// sweepTimeout bounds one look.
	sweepTimeout = 2 * time.Second
)

// Run looks for batches whose owner is gone until t dies. changed is signalled
// after each change of the view of instances.
func (d *Desk) Run(t *tomb.Tomb, changed <-chan struct{}) error {
	ctx := t.Context(context.Background())
	// Instances that start together would otherwise ask together.
	if !timer.Wait(d.Timer, time.Duration(rand.Int64N(int64(sweepEvery))), t.Dying()) {
		return nil
	}
	sub := d.Timer.Every(sweepEvery)
	defer sub.Close()
	for {
		select {
		case <-sub.C:
			d.verify(ctx)
			d.sweep(ctx, keyvalue.Stale)
		case <-changed:
			d.verify(ctx)
			d.sweep(ctx, keyvalue.Fresh)
		case <-t.Dying():
			return nil
		}
	}
}

// sweep takes over the batches without a live owner for which this instance
// ranks first.
func (d *Desk) sweep(ctx context.Context, f keyvalue.Freshness) {
	if !d.Registry.Synced() || d.Leaving() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	claims, err := d.Ledger.Open(ctx, f)
	if err != nil {
		d.Journal.Detail("open batches not read", log.Fields{
			"error": err.Error(),
		})
		return
	}
	for _, c := range claims {
		if d.orphan(c) {
			d.takeOver(ctx, c)
		}
	}
}

// Doubt has all claims of this instance looked up before the next sweep: its
// lease had ended, so others may own its batches now. Reads would otherwise miss
// the results that the new owners list.
func (d *Desk) Doubt() { d.doubt.Store(true) }

// verify drops the batches that have another owner, or are ended, by the
// ledger.
func (d *Desk) verify(ctx context.Context) {
	if !d.doubt.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	claims, err := d.Ledger.Open(ctx, keyvalue.Fresh)
	if err != nil {
		d.Journal.Trouble("own batches not verified", err, log.Fields{})
		return
	}
	stands := make(map[string]uint64, len(claims))
	for _, c := range claims {
		stands[c.Batch] = c.Revision
	}
	for _, c := range d.Runner.Claims() {
		if stands[c.Batch] != c.Revision {
			d.Runner.Lose(c.Batch, ledger.ErrFenced)
		}
	}
	d.doubt.Store(false)
}

// orphan reports whether this instance should take over a batch.
func (d *Desk) orphan(c ledger.Claim) bool {
	if c.Owner == d.Ledger.Self {
		return !d.Runner.Has(c.Batch)
	}
	if m, ok := d.Registry.Find(c.Owner.Instance); ok {
		// An instance that came back goes on with what it had.
		return m.Incarnation != c.Owner.Incarnation && m.Incarnation == d.Ledger.Self.Incarnation
	}
	return First(d.Registry.Members(), c.Batch) == d.Registry.Self().Name
}

// First returns the instance that ranks first for a batch, by a rendezvous
// hash over those that are not leaving. The batches of a dead instance so
// spread over all others.
func First(members []registry.Member, batch string) string {
	best, top := "", uint64(0)
	for _, m := range members {
		if m.Leaving {
			continue
		}
		if score := member.Score(m.Name, batch); best == "" || score > top {
			best, top = m.Name, score
		}
	}
	return best
}

func (d *Desk) takeOver(ctx context.Context, seen ledger.Claim) {
	claim := seen
	var err error
	if seen.Owner != d.Ledger.Self {
		sign := registry.Key(seen.Owner.Instance)
		if seen.Owner.Instance == d.Ledger.Self.Instance {
			sign = ""
		}
		claim, err = d.Ledger.TakeOver(ctx, seen, sign)
	}
	if errors.Is(err, ledger.ErrFenced) {
		return
	}
	if err == nil {
		err = d.Runner.Adopt(ctx, claim)
	}
	if err != nil {
		d.Journal.Trouble("take-over failed", err, log.Fields{
			"request_id": seen.Batch,
			"owner":      seen.Owner.Instance,
		})
		return
	}
	d.Hint(claim.Batch, claim.Owner)
	d.tell(claim.Batch)
}
