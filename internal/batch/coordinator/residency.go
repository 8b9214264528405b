package coordinator

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/batch/ledger"
	"github.com/egretbend/egretbend/internal/batch/submission"
	"github.com/egretbend/egretbend/internal/fleet/registry"
	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/catalog"
	"github.com/egretbend/egretbend/internal/route/residency"
)

const (
	// regionsEmptyRetryAfter is for batches that no region may run until an operator has
	// changed the configuration, regionRetryAfter for those that no instance or engine in an
	// allowed region can run at the moment.
	regionsEmptyRetryAfter = 5 * time.Second
	regionRetryAfter       = time.Second
	// demandInterval is the time between two announcements of the demand of a model whose batches
	// are refused. Trainers retry each second, and a demand counts for a minute.
	demandInterval = 5 * time.Second
	// firstConfigPause is the pause between two looks for the first configuration.
	firstConfigPause = 100 * time.Millisecond
)

// errNotAllowedHere means that a batch must not run or be stored in the region of this instance.
var errNotAllowedHere = errors.New("the batch is not allowed in the region of this instance")

// notAllowedError is the error of a home that must not run a batch.
type notAllowedError struct {
	// version is the version of the configuration that the home knows.
	version uint64
}

// Error implements error.
func (e *notAllowedError) Error() string {
	return fmt.Sprintf("%v, by configuration %d", errNotAllowedHere, e.version)
}

// checkRefusal returns an error if a home refused a batch by a newer configuration than the one
// known here. By the older one, a batch could be accepted in a region that is not allowed any
// more. The trainer retries once the newer one is known.
func (d *Coordinator) checkRefusal(err error) *problem.Error {
	var refused *notAllowedError
	if !errors.As(err, &refused) || refused.version <= d.Config.Current().Version {
		return nil
	}
	return problem.RegionUnavailable.With(err).WithRetryAfter(regionRetryAfter)
}

// Allowed returns the regions in which a batch may run and be stored now.
func (d *Coordinator) Allowed(b submission.Binding) residency.Regions {
	return b.Allowed(d.Config.Current())
}

// AllowedHere reports whether a batch may run and be stored at this instance.
func (d *Coordinator) AllowedHere(b submission.Binding) bool {
	return d.Allowed(b).Allows(d.Registry.Self().Region)
}

// membersFor returns the instances at which a batch may run and be stored.
func (d *Coordinator) membersFor(b submission.Binding) []registry.Member {
	return registry.InRegions(d.Registry.Members(), d.Allowed(b))
}

// checkRegions returns an error if no eligible instance or no engine may run a batch. Such a
// batch did not run, unless it was accepted before. wantsEngines reports whether it could run if
// there were engines in its regions.
func (d *Coordinator) checkRegions(sub *submission.Submission, route catalog.Route) (refusal *problem.Error, wantsEngines bool) {
	regions := d.Allowed(sub.Binding())
	if !regions.Restricted() {
		return nil, false
	}
	hasEngine := slices.ContainsFunc(route.Split, func(s catalog.WeightedService) bool {
		return len(d.Runner.Upstreams.Group(s.Service).In(regions).Upstreams) > 0
	})
	switch {
	case regions.Empty():
		return problem.RegionsEmpty.Withf("route %s and the organisation allow no region in common", route.Name).
			WithRetryAfter(regionsEmptyRetryAfter), false
	case len(registry.Eligible(registry.InRegions(d.Registry.Members(), regions))) == 0:
		return problem.RegionUnavailable.Withf("no instance is in an allowed region (%s)", regions).WithRetryAfter(regionRetryAfter), false
	case !hasEngine:
		return problem.RegionUnavailable.Withf("no engine of route %s is in an allowed region (%s)", route.Name, regions).
			WithRetryAfter(regionRetryAfter), true
	}
	return nil, false
}

// announceDemand tells all instances of a batch that was refused for lack of engines in its
// regions, so that the holder of the duty orders some. Otherwise it would know of no demand there,
// and the batch would never be accepted.
func (d *Coordinator) announceDemand(sub *submission.Submission) {
	now := d.Timer.Now()
	key := sub.Model + "\x00" + d.Allowed(sub.Binding()).Key()
	d.mu.Lock()
	for k, at := range d.announced {
		if now.Sub(at) >= demandInterval {
			delete(d.announced, k)
		}
	}
	_, recent := d.announced[key]
	if d.announced == nil {
		d.announced = make(map[string]timer.Instant)
	}
	if !recent {
		d.announced[key] = now
	}
	d.mu.Unlock()
	if recent || sub.Model == "" {
		return
	}
	hint := OwnerHint{
		Batch:   sub.ID,
		Model:   sub.Model,
		Items:   len(sub.Items),
		Work:    sub.EstimatedTokens(),
		Binding: sub.Binding(),
		Refused: true,
	}
	d.RecordOwner(hint)
	d.sendHint(hint)
}

// refuse returns the error for a batch that can't run in an allowed region. A batch that was
// accepted before runs, or has run, so that its trainer must not be told otherwise.
func (d *Coordinator) refuse(ctx context.Context, sub *submission.Submission, refusal *problem.Error) error {
	if d.Runner.Has(sub.ID) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	accepted, err := d.Ledger.Accepted(ctx, sub.ID)
	if accepted {
		return nil
	}
	d.Runner.RefuseBatch(sub, d.Allowed(sub.Binding()), refusal.Kind.Code, refusal)
	if err != nil {
		return withUnknownOutcome(refusal)
	}
	return refusal
}

// checkHere returns an error if this instance must not run a batch.
func (d *Coordinator) checkHere(sub *submission.Submission) error {
	regions := d.Allowed(sub.Binding())
	switch {
	case regions.Empty():
		return problem.RegionsEmpty.With(errNotAllowedHere).WithRetryAfter(regionsEmptyRetryAfter)
	case !regions.Allows(d.Registry.Self().Region):
		return problem.RegionUnavailable.Withf("%w (%s)", errNotAllowedHere, regions).WithRetryAfter(regionRetryAfter)
	}
	return nil
}

// recordBinding records what determines the regions of a batch.
func (d *Coordinator) recordBinding(id string, b submission.Binding) {
	if b.Host == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.bindings.set(id, b, d.Timer.Now())
}

// bindingOf returns what determines the regions of a batch, from memory or from its claim in
// the ledger, and whether it is known.
func (d *Coordinator) bindingOf(ctx context.Context, id string) (submission.Binding, bool) {
	d.mu.Lock()
	b, ok := d.bindings.get(id, d.Timer.Now())
	d.mu.Unlock()
	if ok {
		return b, true
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	claim, err := d.Ledger.Find(ctx, id)
	if err != nil {
		return submission.Binding{}, false
	}
	d.recordBinding(id, claim.Binding)
	return claim.Binding, claim.Binding.Host != ""
}

// mayReadFor reports whether this instance may read a batch from the ledger on behalf of
// another one.
func (d *Coordinator) mayReadFor(ctx context.Context, id string) bool {
	if !d.Config.Current().Restricted() {
		return true
	}
	b, ok := d.bindingOf(ctx, id)
	return ok && d.AllowedHere(b)
}

// followConfiguration moves the batches away from here that a new configuration does not allow
// in the region of this instance, until t dies.
func (d *Coordinator) followConfiguration(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	for t.Alive() {
		cfg := d.Config.Current()
		if cfg == nil {
			timer.Wait(d.Timer, firstConfigPause, t.Dying())
			continue
		}
		d.leaveRegion(ctx)
		if d.waiting.Swap(false) {
			// A batch that no instance could run may be allowed somewhere now.
			d.takeOverFailed.Set()
		}
		select {
		case <-cfg.Superseded():
		case <-t.Dying():
		}
	}
	return nil
}

// leaveRegion gives up what is not allowed in the region of this instance: running batches are
// handed over, and cached ones are dropped. It returns when that is done.
func (d *Coordinator) leaveRegion(ctx context.Context) {
	d.finished.keep(d.AllowedHere)
	d.Runner.DropUnstored(d.AllowedHere, errNotAllowedHere)
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, c := range d.Runner.Claims() {
		if !d.AllowedHere(c.Binding) {
			wg.Go(func() { d.handOver(ctx, c, "region") })
		}
	}
}

// leaveIfNotAllowed hands over a batch that began here while the configuration changed.
func (d *Coordinator) leaveIfNotAllowed(b submission.Binding) {
	if !d.AllowedHere(b) {
		go d.leaveRegion(context.Background())
	}
}

// giveAway gives a batch that this instance owns and does not run to an instance in an allowed
// region, if there is one.
func (d *Coordinator) giveAway(c ledger.Claim) {
	to := FirstRanked(d.membersFor(c.Binding), c.Batch)
	if to.Name == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), sweepTimeout)
	defer cancel()
	owner := ownerOf(to)
	err := d.Ledger.HandOver(ctx, c, owner, nil, nil)
	if err == nil {
		err = d.Peers.Adopt(ctx, owner.Address, c.Batch)
	}
	d.logHandOver(c, to, "region", err)
}

// handOver gives a batch that runs here to another instance in an allowed region, with the
// results and texts that there are so far. If there is none, the batch stops here and is given
// away once there is one.
func (d *Coordinator) handOver(ctx context.Context, c ledger.Claim, reason string) {
	to := FirstRanked(registry.Without(d.membersFor(c.Binding), d.Ledger.Self.Instance), c.Batch)
	owner := d.Ledger.Self
	d.waiting.Store(d.waiting.Load() || to.Name == "")
	if to.Name != "" {
		owner = ownerOf(to)
	} else if d.AllowedHere(c.Binding) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	err := d.Runner.HandOver(ctx, c.Batch, owner)
	if err == nil && owner != d.Ledger.Self {
		err = d.Peers.Adopt(ctx, owner.Address, c.Batch)
	}
	d.logHandOver(c, to, reason, err)
}

func (d *Coordinator) logHandOver(c ledger.Claim, to registry.Member, reason string, err error) {
	fields := log.Fields{
		"request_id": c.Batch,
		"to":         to.Name,
		"reason":     reason,
	}
	if regions := d.Allowed(c.Binding); regions.Restricted() {
		fields["regions"] = regions.String()
	}
	if err != nil {
		d.Journal.Warn("hand-over not finished", err, fields)
		return
	}
	d.Journal.Decision("hand_over", fields)
}

// ownerOf returns the owner that stands for a member.
func ownerOf(m registry.Member) ledger.Owner {
	return ledger.Owner{
		Instance:    m.Name,
		Incarnation: m.Incarnation,
		Address:     m.PeerAddress,
	}
}
