package coordinator

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/apex/log"
	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/batch/ledger"
	"github.com/egretbend/egretbend/internal/fleet/registry"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
	"github.com/egretbend/egretbend/internal/route/residency"
)

// Intervals and timeouts of take-overs.
const (
	// sweepInterval is how often each instance looks for batches without a live
	// owner, in a stale listing, which costs a tenth of a fresh one. The sweep finds
	// batches that are missed when an instance leaves the registry: those of an owner
	// that died just after it accepted them, and those that were stored by a write
	// whose answer was lost.
	sweepInterval = 4 * time.Second
	// goneDebounce is the pause before a sweep, so that the deaths of instances that
	// die together cause only one.
	goneDebounce = 100 * time.Millisecond
	// sweepRetryPause is the pause after a failed sweep or take-over while an
	// instance is known to be gone.
	sweepRetryPause = 300 * time.Millisecond
	// ownerProbeTimeout bounds asking an owner whose lease has ended whether it runs
	// a batch. A dead process refuses the connection at once; a host without power
	// does not answer.
	ownerProbeTimeout = 250 * time.Millisecond
	// ownerProbes times ownerProbePause is how long an owner that answers has to
	// appear in the registry again. A new lease takes one renewal, some tenths of a
	// second.
	ownerProbes     = 4
	ownerProbePause = 400 * time.Millisecond
	// sweepTimeout bounds the listing of a sweep, and one take-over.
	sweepTimeout = 2 * time.Second
)

// Run takes over batches whose owner is gone until t dies. gone is signalled when an
// instance leaves the registry's view, and once when the view is first read, so that a
// restarted instance resumes the batches of its previous incarnation.
func (d *Coordinator) Run(t *tomb.Tomb, gone <-chan struct{}) error {
	ctx := t.Context(context.Background())
	t.Go(func() error { return d.followConfiguration(t) })
	// A random first delay spreads the sweeps of instances that start together.
	next := d.Timer.Once(time.Duration(rand.Int64N(int64(sweepInterval))))
	defer func() { next.Close() }()
	consistency := keyvalue.Stale
	for {
		select {
		case <-next.C:
		case <-d.takeOverFailed.C():
			consistency = keyvalue.Fresh
			timer.Wait(d.Timer, sweepRetryPause, t.Dying())
		case <-gone:
			consistency = keyvalue.Fresh
			timer.Wait(d.Timer, goneDebounce, t.Dying())
		case <-t.Dying():
			return nil
		}
		interval := sweepInterval
		if err := d.sweep(ctx, consistency); err != nil && consistency == keyvalue.Fresh {
			interval = sweepRetryPause
		} else {
			consistency = keyvalue.Stale
		}
		next.Close()
		next = d.Timer.Once(interval)
	}
}

// errNotReady means that this instance has no configuration yet and can't take over
// batches.
var errNotReady = errors.New("no configuration yet")

// sweep takes over the batches without a live owner whose successor is this instance.
// After RecheckClaims it first drops the batches that this instance no longer owns.
func (d *Coordinator) sweep(ctx context.Context, consistency keyvalue.Consistency) error {
	if !d.Registry.Synced() || d.Leaving() || !d.Registry.Eligible() && len(d.Runner.Claims()) == 0 {
		// Only eligible instances are successors; the sweep of any other would find
		// nothing to take over.
		return nil
	}
	if d.Config.Current() == nil {
		return errNotReady
	}
	// A batch may have been accepted while the configuration changed.
	go d.leaveRegion(ctx)
	uncertain := d.claimsUncertain.Load()
	if uncertain {
		consistency = keyvalue.Fresh
	}
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	claims, err := d.Ledger.OpenBatches(ctx, consistency)
	cancel()
	if err != nil {
		d.Journal.Debug("open batches not listed", log.Fields{
			"error": err.Error(),
		})
		return err
	}
	if uncertain {
		d.dropStaleClaims(claims)
	}
	for _, c := range claims {
		switch {
		case d.shouldTakeOver(c):
			go d.takeOver(c)
		case c.Owner == d.Ledger.Self && !d.Runner.Has(c.Batch):
			go d.giveAway(c)
		}
	}
	return nil
}

// RecheckClaims makes the next sweep look up all claims of this instance. It is called
// after the lease of this instance has ended, since other instances may own its batches
// now and list results that reads here would miss.
func (d *Coordinator) RecheckClaims() { d.claimsUncertain.Store(true) }

// dropStaleClaims drops the batches that have another owner by now or are ended.
func (d *Coordinator) dropStaleClaims(claims []ledger.Claim) {
	d.claimsUncertain.Store(false)
	revisions := make(map[string]uint64, len(claims))
	for _, c := range claims {
		revisions[c.Batch] = c.Revision
	}
	for _, c := range d.Runner.Claims() {
		if revisions[c.Batch] != c.Revision {
			d.Runner.Drop(c.Batch, ledger.ErrFenced)
		}
	}
}

// shouldTakeOver reports whether this instance should take over a batch: it owns the
// batch and does not run it, or the owner is gone and this instance is its successor.
func (d *Coordinator) shouldTakeOver(c ledger.Claim) bool {
	if !d.AllowedHere(c.Binding) {
		return false
	}
	if c.Owner == d.Ledger.Self {
		return !d.Runner.Has(c.Batch)
	}
	if m, ok := d.Registry.Find(c.Owner.Instance); ok && !d.Registry.Suspected(c.Owner.Instance) {
		// A restarted instance resumes the batches of its previous incarnation itself.
		return m.Incarnation != c.Owner.Incarnation && m.Incarnation == d.Ledger.Self.Incarnation
	}
	return d.succeeds(c.Owner.Instance, d.Allowed(c.Binding))
}

// IsSuccessorOf reports whether this instance is the named instance or its successor.
// The successor alone lists the ledger after a death; if all instances did, the number
// of listings would grow with the square of the fleet.
// It may also be the successor for only those batches that are restricted to regions.
func (d *Coordinator) IsSuccessorOf(name string) bool {
	return d.succeeds(name, residency.Regions{}) ||
		slices.ContainsFunc(d.Config.Current().RegionSets(), func(r residency.Regions) bool { return d.succeeds(name, r) })
}

// succeeds reports whether this instance is the named instance or its successor for batches
// that are allowed in some regions.
func (d *Coordinator) succeeds(name string, regions residency.Regions) bool {
	members := registry.InRegions(d.Registry.Members(), regions)
	successor := FirstRanked(registry.Without(members, name), name)
	return name == d.Ledger.Self.Instance || successor.Name == d.Ledger.Self.Instance
}

// FirstRanked returns the eligible instance that ranks first for a key by rendezvous
// hashing, or a member without a name if no instance is eligible.
func FirstRanked(members []registry.Member, key string) registry.Member {
	if first := registry.Ranked(members, key, 1); len(first) > 0 {
		return first[0]
	}
	return registry.Member{}
}

// ownerAlive reports whether the owner of a batch is alive although its lease has
// ended, as when the key-value service took the lease away or rejected the instance for
// longer than the lease lasts. Taking the batch over would repeat the work that the
// owner has done. An owner that answers gets some time to appear in the registry again,
// by way of the other instances if it does not reach the service.
func (d *Coordinator) ownerAlive(c ledger.Claim) bool {
	if c.Owner.Instance == d.Ledger.Self.Instance || c.Owner.Address == "" {
		return false
	}
	for range ownerProbes {
		ctx, cancel := context.WithTimeout(context.Background(), ownerProbeTimeout)
		runs := d.Peers.Runs(ctx, c.Owner.Address, c.Batch)
		cancel()
		if !runs {
			return false
		}
		timer.Wait(d.Timer, ownerProbePause, nil)
		if d.Registry.Alive(c.Owner.Instance, c.Owner.Incarnation) && !d.Registry.Suspected(c.Owner.Instance) {
			return true
		}
	}
	return false
}

// maxHomes is how many instances a batch is forwarded to before the instance that it
// reached accepts it itself. That one may have a sixth of the CPU of a home.
const maxHomes = 2

// Homes returns the instances that batches of a key should run at, the most preferred
// first. Those of the region in which a batch is submitted come first: its trainer reads the
// results there, several times as many bytes as the batch itself has.
func Homes(members []registry.Member, region, key string) []registry.Member {
	return registry.RankedNear(members, region, key, maxHomes)
}

// takeOver acquires a batch unless its owner turns out to be alive.
func (d *Coordinator) takeOver(seen ledger.Claim) {
	if !d.ownerAlive(seen) {
		d.acquire(seen)
	}
}

// AcquireFrom acquires batches of an owner that is known to be lost and whose lease has
// ended.
func (d *Coordinator) AcquireFrom(owner ledger.Owner, batches []string) {
	if d.Leaving() || d.Config.Current() == nil {
		return
	}
	for _, id := range batches {
		go d.acquireFrom(owner, id)
	}
}

// acquireFrom acquires a batch if it still belongs to the given owner.
func (d *Coordinator) acquireFrom(owner ledger.Owner, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), sweepTimeout)
	defer cancel()
	claim, err := d.Ledger.Find(ctx, id)
	if err != nil {
		// The sweep that follows the end of the owner's lease tries again.
		d.Journal.Debug("batch of a lost owner not read", log.Fields{
			"request_id": id,
			"error":      err.Error(),
		})
		return
	}
	if claim.Owner == owner {
		d.acquire(claim)
	}
}

// acquire makes this instance the owner of a batch in the ledger, unless the owner's key
// in the registry still exists, and resumes the batch.
func (d *Coordinator) acquire(seen ledger.Claim) {
	ctx, cancel := context.WithTimeout(context.Background(), sweepTimeout)
	defer cancel()
	if !d.AllowedHere(seen.Binding) {
		// The instance that gave the batch away may know a newer configuration.
		d.takeOverFailed.Set()
		return
	}
	claim := seen
	var err error
	if seen.Owner != d.Ledger.Self {
		aliveKey := registry.InstanceKey(seen.Owner.Instance)
		if seen.Owner.Instance == d.Ledger.Self.Instance {
			aliveKey = ""
		}
		claim, err = d.Ledger.TakeOver(ctx, seen, aliveKey)
	}
	if err == nil {
		err = d.Runner.Adopt(ctx, claim)
	}
	if errors.Is(err, ledger.ErrFenced) {
		return
	}
	if errors.Is(err, ledger.ErrUnknown) || errors.Is(err, ledger.ErrUnreadable) {
		// There is nothing to resume. The regular sweep looks again.
		d.Journal.WarnOnce("a batch can't be resumed", seen.Batch, err, log.Fields{
			"request_id": seen.Batch,
		})
		return
	}
	if err != nil {
		d.Journal.Warn("take-over failed", err, log.Fields{
			"request_id": seen.Batch,
			"owner":      seen.Owner.Instance,
		})
		// The next regular sweep is seconds away, and the trainer would be idle until
		// then.
		d.takeOverFailed.Set()
		return
	}
	d.announceOwner(OwnerHint{
		Batch:   claim.Batch,
		Owner:   claim.Owner,
		Binding: claim.Binding,
	})
	d.leaveIfNotAllowed(claim.Binding)
}

// HandOver gives the batches of this instance, which is stopping, to other instances,
// with the results and texts that it has of them so far.
func (d *Coordinator) HandOver(ctx context.Context) {
	for _, c := range d.Runner.Claims() {
		d.handOver(ctx, c, "leaving")
	}
}

// ensureOwnerRuns has the owner of a batch adopt it if it does not run it. An owner whose
// write was stored, but whose wait for the answer timed out, does not know of its batch
// until its next sweep, and the trainer would be idle for seconds. When the trainer
// retries, the batch is found in the ledger, and with it its owner.
func (d *Coordinator) ensureOwnerRuns(id string) {
	ctx, cancel := context.WithTimeout(context.Background(), sweepTimeout)
	defer cancel()
	owner, err := d.findOwner(ctx, id)
	if errors.Is(err, ledger.ErrUnknown) {
		// The batch has ended.
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
		d.Journal.Debug("owner not told to adopt its batch", log.Fields{
			"request_id": id,
			"owner":      owner.Instance,
			"error":      err.Error(),
		})
	}
}

// Adopt begins a batch that this instance owns by the ledger and does not run yet.
func (d *Coordinator) Adopt(ctx context.Context, id string) error {
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
