package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"

	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/outside/engine"
	"github.com/egretbend/egretbend/internal/route/admission"
	"github.com/egretbend/egretbend/internal/route/catalog"
	"github.com/egretbend/egretbend/internal/route/departure"
	"github.com/egretbend/egretbend/internal/route/policy"
	"github.com/egretbend/egretbend/internal/route/upstream"
	"github.com/egretbend/egretbend/internal/route/wire"
)

// startAttempt chooses an upstream and sends the request to it in a goroutine, which
// puts the result into d.results.
func (d *dispatch) startAttempt(ctx context.Context) error {
	if err := d.checkRegions(); err != nil {
		return err
	}
	if err := d.checkDeparture(); err != nil {
		return err
	}
	chosen, permit, err := d.acquireUpstream(ctx)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(wire.WithBeforeWrite(ctx, chosen.CheckSend))
	d.cancels = append(d.cancels, cancel)
	ctx = permit.Guard(ctx)
	attempt := d.sent
	d.tried[attempt] = chosen.Upstream
	d.sent++
	d.inFlight++
	chosen.Begin()
	d.recordUsage()
	startedAt := d.f.Timer.Now()
	timeLeft := d.deadline.Sub(startedAt)
	go func() {
		answer, err := d.f.Sender.Send(ctx, chosen, d.req, timeLeft)
		d.results <- attemptResult{
			attempt: attempt,
			u:       chosen,
			answer:  answer,
			err:     err,
			took:    d.f.Timer.Now().Sub(startedAt),
		}
	}()
	return nil
}

// checkDeparture returns an error if this instance is leaving and the request would probably be cut
// off when it ends. Reward calls are not checked: their batch goes on at another instance.
func (d *dispatch) checkDeparture() error {
	if d.f.Departure == nil || d.req.Class == admission.Reward {
		return nil
	}
	return d.f.Departure.Admit(departure.Request{
		ID:     d.req.ID,
		Route:  d.req.Route.Name,
		ReadAt: d.started,
		Limit:  d.timeLeft(),
	})
}

// noUpstream returns the error for a request for which there is no usable upstream. An evacuation
// lasts longer than a gap in the list of upstreams, so its refusals state a later time.
func (d *dispatch) noUpstream() error {
	if len(d.group.Upstreams) == 0 && len(d.group.EvacuatedDomains) > 0 {
		return problem.NoUpstream.Withf("all failure domains with upstreams are evacuated: %s", strings.Join(d.group.EvacuatedDomains, ", ")).
			WithRetryAfter(retryAfterEvacuated)
	}
	return problem.NoUpstream.Withf("none of the %d upstreams is usable", len(d.group.Upstreams)).
		WithRetryAfter(retryAfterNoUpstream)
}

// recordUsage counts the request for its organisation when it is first sent.
func (d *dispatch) recordUsage() {
	if d.undoUsage == nil && d.f.Usage != nil && d.req.Organisation != "" {
		d.undoUsage = d.f.Usage.RequestStarted(d.req.Organisation)
	}
}

// revertUsage reverts recordUsage if no upstream runs or may have run the request.
func (d *dispatch) revertUsage() {
	if d.undoUsage != nil && d.possibleRuns() == 0 {
		d.undoUsage()
		d.undoUsage = nil
	}
}

// chooseUpstream returns an upstream that was not tried yet. If there is none and no
// attempt is in flight, it returns one that was tried before, and nil if there is none
// at all.
func (d *dispatch) chooseUpstream() *catalog.Upstream {
	if d.f.Upstreams.EvacuationsKnown() {
		// A domain may have been evacuated since the last attempt.
		d.refreshGroup()
	}
	q := policy.Query{
		Random: rand.Uint64(),
		Now:    d.f.Timer.Now(),
		Tried:  d.tried,
	}
	var p policy.Policy = policy.TwoChoices{}
	if d.req.Route.Repeatable() && d.sent == 0 {
		// Prefer idle connections only for the first attempt of a repeatable
		// request: others are sent over a connection of their own, and a second
		// attempt needs the least loaded upstream.
		p = policy.IdleConnection{}
	}
	c := d.chooseNear(p, q)
	if c.Upstream == nil {
		c = p.Choose(d.group.Set, q)
	}
	if c.Upstream == nil && d.inFlight == 0 {
		q.Tried = [policy.MaxTried]*upstream.Upstream{}
		c = policy.TwoChoices{}.Choose(d.group.Set, q)
	}
	if c.Upstream == nil {
		return nil
	}
	return d.group.Find(c.Upstream)
}

// nearMaxLoad is the load up to which an upstream in the region of this instance is preferred: with
// a free slot, it answers sooner than one that is two trips between regions away.
const nearMaxLoad = 1

// chooseNear chooses an upstream in the region of this instance for the first attempt. The choice
// has no upstream if none there is usable and has a free slot; a second attempt may go anywhere.
func (d *dispatch) chooseNear(p policy.Policy, q policy.Query) policy.Choice {
	if !d.f.Near.Restricted() || d.sent > 0 {
		return policy.Choice{}
	}
	c := p.Choose(d.group.In(d.f.Near).Set, q)
	if c.Upstream == nil || !c.Upstream.Usable(q.Now) || c.Upstream.Load(q.Now) > nearMaxLoad {
		return policy.Choice{}
	}
	return c
}

// refreshGroup replaces the group after the list of upstreams or the evacuated failure domains
// have changed. It keeps a group that became empty for another reason than an evacuation.
func (d *dispatch) refreshGroup() {
	if group := d.f.Upstreams.Group(d.service).In(d.regions); len(group.Upstreams)+len(group.EvacuatedDomains) > 0 {
		d.group = group
	}
}

// cancelOthers cancels all attempts except the winner, whose answer may still be
// streaming; winner is nil if there is none. An attempt that took more than
// slowAttemptFactor times as long as the winner counts as a failure of its upstream.
func (d *dispatch) cancelOthers(winner *attemptResult) {
	for i, cancel := range d.cancels {
		if winner != nil && i == winner.attempt && winner.answer != nil && winner.answer.Stream != nil {
			continue
		}
		cancel()
	}
	d.cancels = nil
	if d.inFlight == 0 {
		return
	}
	pending := d.inFlight
	d.inFlight = 0
	go func() {
		for range pending {
			r := <-d.results
			d.leaveGate(r, true)
			if winner != nil && r.took > slowAttemptFactor*winner.took && !errors.Is(r.err, engine.ErrWithdrawn) {
				r.u.Failed(d.f.Timer.Now())
				continue
			}
			r.u.Cancelled()
		}
	}()
}
