package desk

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/apex/log"
	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/batch/ledger"
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
	// gatherTime gathers the ends of instances that died together into one look.
	gatherTime = 100 * time.Millisecond
	// sweepAgain is the pause after a look that failed although an instance is
	// known to be gone.
	sweepAgain = 300 * time.Millisecond
	// ownerTimeout bounds the question to an owner whose lease has ended, whether
	// it runs a batch; a dead one refuses at once, one without power is silent.
	ownerTimeout = 250 * time.Millisecond
	// ownerAsks and ownerPause are how long an owner that lives has to show
	// itself again. A new lease takes one renewal, some tenths of a second.
	ownerAsks  = 4
	ownerPause = 400 * time.Millisecond
	// sweepTimeout bounds one look, and one take-over.
	sweepTimeout = 2 * time.Second
)

// Run looks for batches whose owner is gone until t dies. gone is signalled when
// an instance left the view, and once when the view is first known: an instance
// that starts again goes on with what its earlier life had.
func (d *Desk) Run(t *tomb.Tomb, gone <-chan struct{}) error {
	ctx := t.Context(context.Background())
	// Instances that start together would otherwise ask together.
	next := d.Timer.Once(time.Duration(rand.Int64N(int64(sweepEvery))))
	defer func() { next.Close() }()
	f := keyvalue.Stale
	for {
		select {
		case <-next.C:
		case <-d.failed.C():
			f = keyvalue.Fresh
			timer.Wait(d.Timer, sweepAgain, t.Dying())
		case <-gone:
			f = keyvalue.Fresh
			timer.Wait(d.Timer, gatherTime, t.Dying())
		case <-t.Dying():
			return nil
		}
		after := sweepEvery
		if err := d.sweep(ctx, f); err != nil && f == keyvalue.Fresh {
			after = sweepAgain
		} else {
			f = keyvalue.Stale
		}
		next.Close()
		next = d.Timer.Once(after)
	}
}

// errNotReady means that this instance can't take over batches yet.
var errNotReady = errors.New("no configuration yet")

// sweep takes over the batches without a live owner for which this instance
// ranks first, and drops those that it has lost.
func (d *Desk) sweep(ctx context.Context, f keyvalue.Freshness) error {
	if !d.Registry.Synced() || d.Leaving() || !d.Registry.Able() && len(d.Runner.Claims()) == 0 {
		// Only able instances inherit; a look of all others would find nothing
		// for them.
		return nil
	}
	if d.Config.Current() == nil {
		return errNotReady
	}
	doubt := d.doubt.Load()
	if doubt {
		f = keyvalue.Fresh
	}
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	claims, err := d.Ledger.Open(ctx, f)
	cancel()
	if err != nil {
		d.Journal.Detail("open batches not read", log.Fields{
			"error": err.Error(),
		})
		return err
	}
	if doubt {
		d.verify(claims)
	}
	for _, c := range claims {
		if d.orphan(c) {
			go d.takeOver(c)
		}
	}
	return nil
}

// Doubt has all claims of this instance looked up at the next sweep: its lease
// had ended, so others may own its batches now. Reads would otherwise miss the
// results that the new owners list.
func (d *Desk) Doubt() { d.doubt.Store(true) }

// verify drops the batches that have another owner, or are ended.
func (d *Desk) verify(claims []ledger.Claim) {
	d.doubt.Store(false)
	stands := make(map[string]uint64, len(claims))
	for _, c := range claims {
		stands[c.Batch] = c.Revision
	}
	for _, c := range d.Runner.Claims() {
		if stands[c.Batch] != c.Revision {
			d.Runner.Lose(c.Batch, ledger.ErrFenced)
		}
	}
}

// orphan reports whether this instance should take over a batch.
func (d *Desk) orphan(c ledger.Claim) bool {
	if c.Owner == d.Ledger.Self {
		return !d.Runner.Has(c.Batch)
	}
	if m, ok := d.Registry.Find(c.Owner.Instance); ok && !d.Registry.Suspected(c.Owner.Instance) {
		// An instance that came back goes on with what it had.
		return m.Incarnation != c.Owner.Incarnation && m.Incarnation == d.Ledger.Self.Incarnation
	}
	return d.Inherits(c.Owner.Instance)
}

// Inherits reports whether this instance takes over what another one leaves. Only
// one of all then looks into the ledger after a death; if all did, the looks
// would grow with the square of the fleet.
func (d *Desk) Inherits(name string) bool {
	heir := First(registry.Without(d.Registry.Members(), name), name)
	return name == d.Ledger.Self.Instance || heir.Name == d.Ledger.Self.Instance
}

// First returns the instance that ranks first for a key, by a rendezvous hash
// over those that are able to run a batch. It returns a member without a name if
// there is none.
func First(members []registry.Member, key string) registry.Member {
	if first := registry.Ranked(members, key, 1); len(first) > 0 {
		return first[0]
	}
	return registry.Member{}
}

// lives reports whether the owner of a batch turns out to be alive though its
// lease has ended: the service took the lease away, or turned the instance away
// for longer than it lasts. What it has of the batch would be made again. It gets
// a moment to show itself again, by way of the others if need be.
func (d *Desk) lives(c ledger.Claim) bool {
	if c.Owner.Instance == d.Ledger.Self.Instance || c.Owner.Address == "" {
		return false
	}
	for range ownerAsks {
		ctx, cancel := context.WithTimeout(context.Background(), ownerTimeout)
		runs := d.Peers.Runs(ctx, c.Owner.Address, c.Batch)
		cancel()
		if !runs {
			return false
		}
		timer.Wait(d.Timer, ownerPause, nil)
		if d.Registry.Alive(c.Owner.Instance, c.Owner.Incarnation) && !d.Registry.Suspected(c.Owner.Instance) {
			return true
		}
	}
	return false
}

// homesTried is how many instances a batch is brought to before the one that it
// reached runs it itself. That one may have a sixth of their processor.
const homesTried = 2

// Homes returns the instances that should run the batches of a key, the first one
// first.
func Homes(members []registry.Member, key string) []registry.Member {
	return registry.Ranked(members, key, homesTried)
}

// takeOver makes this instance the owner of a batch and goes on with it, unless its
// owner turns out to be alive.
func (d *Desk) takeOver(seen ledger.Claim) {
	if !d.lives(seen) {
		d.own(seen)
	}
}

// Inherit takes over batches of an owner that is surely lost, and whose lease has
// ended.
func (d *Desk) Inherit(owner ledger.Owner, batches []string) {
	if d.Leaving() || d.Config.Current() == nil {
		return
	}
	for _, id := range batches {
		go d.inherit(owner, id)
	}
}

func (d *Desk) inherit(owner ledger.Owner, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), sweepTimeout)
	defer cancel()
	claim, err := d.Ledger.Find(ctx, id)
	if err != nil {
		// The sweep that follows the end of a lease looks again.
		d.Journal.Detail("inherited batch not read", log.Fields{
			"request_id": id,
			"error":      err.Error(),
		})
		return
	}
	if claim.Owner == owner {
		d.own(claim)
	}
}

// own makes this instance the owner of a batch and goes on with it.
func (d *Desk) own(seen ledger.Claim) {
	ctx, cancel := context.WithTimeout(context.Background(), sweepTimeout)
	defer cancel()
	claim := seen
	var err error
	if seen.Owner != d.Ledger.Self {
		sign := registry.Key(seen.Owner.Instance)
		if seen.Owner.Instance == d.Ledger.Self.Instance {
			sign = ""
		}
		claim, err = d.Ledger.TakeOver(ctx, seen, sign)
	}
	if err == nil {
		err = d.Runner.Adopt(ctx, claim)
	}
	if errors.Is(err, ledger.ErrFenced) {
		return
	}
	if err != nil {
		d.Journal.Trouble("take-over failed", err, log.Fields{
			"request_id": seen.Batch,
			"owner":      seen.Owner.Instance,
		})
		// The next look by itself is seconds away; the step would stand still.
		d.failed.Set()
		return
	}
	d.tell(News{
		Batch: claim.Batch,
		Owner: claim.Owner,
	})
}

// HandOver gives the batches of this instance, which leaves, to others with
// what was made of them.
func (d *Desk) HandOver(ctx context.Context) {
	for _, c := range d.Runner.Claims() {
		to := First(d.Registry.Members(), c.Batch)
		if to.Name == "" {
			continue
		}
		owner := ledger.Owner{
			Instance:    to.Name,
			Incarnation: to.Incarnation,
			Address:     to.PeerAddress,
		}
		err := d.Runner.HandOver(ctx, c.Batch, owner)
		if err == nil {
			err = d.Peers.Adopt(ctx, owner.Address, c.Batch)
		}
		fields := log.Fields{
			"request_id": c.Batch,
			"to":         to.Name,
		}
		if err != nil {
			d.Journal.Trouble("hand-over not finished", err, fields)
			continue
		}
		d.Journal.Decision("hand_over", fields)
	}
}

// remind tells the owner of a batch to begin with it if it does not run it. An
// owner whose write was stored while it waited in vain for the answer does not
// know of its batch until its next look, and the step stands still for seconds;
// the trainer that comes again finds the batch accepted, and so the owner.
func (d *Desk) remind(id string) {
	ctx, cancel := context.WithTimeout(context.Background(), sweepTimeout)
	defer cancel()
	owner, err := d.owner(ctx, id)
	if errors.Is(err, ledger.ErrUnknown) {
		// It has ended.
		return
	}
	switch {
	case err != nil:
	case owner == d.Ledger.Self:
		err = d.Adopt(ctx, id)
	case !d.Peers.Runs(ctx, owner.Address, id):
		err = d.Peers.Adopt(ctx, owner.Address, id)
	}
	if err != nil {
		d.Journal.Detail("owner not reminded", log.Fields{
			"request_id": id,
			"owner":      owner.Instance,
			"error":      err.Error(),
		})
	}
}

// Adopt begins a batch of which this instance is the owner by the ledger.
func (d *Desk) Adopt(ctx context.Context, id string) error {
	if d.Runner.Has(id) {
		return nil
	}
	claim, err := d.Ledger.Find(ctx, id)
	if err != nil {
		return err
	}
	if claim.Owner == d.Ledger.Self {
		go d.takeOver(claim)
	}
	return nil
}
