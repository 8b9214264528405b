package forward

import (
	"context"
	"math/rand/v2"

	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/route/catalog"
	"github.com/egretbend/egretbend/internal/route/policy"
	"github.com/egretbend/egretbend/internal/route/upstream"
)

// startAttempt chooses an upstream and sends the request to it in a goroutine, which
// puts the result into t.results.
func (t *dispatch) startAttempt(ctx context.Context) error {
	chosen := t.chooseUpstream()
	if chosen == nil {
		return problem.NoUpstream.Withf("none of the %d upstreams is usable", len(t.group.Upstreams)).
			WithRetryAfter(retryAfterNoUpstream)
	}
	ctx, cancel := context.WithCancel(ctx)
	t.cancels = append(t.cancels, cancel)
	attempt := t.sent
	t.tried[attempt] = chosen.Upstream
	t.sent++
	t.inFlight++
	chosen.Begin()
	t.recordUsage()
	startedAt := t.f.Timer.Now()
	timeLeft := t.deadline.Sub(startedAt)
	go func() {
		answer, err := t.f.Sender.Send(ctx, chosen, t.req, timeLeft)
		t.results <- attemptResult{
			attempt: attempt,
			u:       chosen,
			answer:  answer,
			err:     err,
			took:    t.f.Timer.Now().Sub(startedAt),
		}
	}()
	return nil
}

// recordUsage counts the request for its organisation when it is first sent.
func (t *dispatch) recordUsage() {
	if t.undoUsage == nil && t.f.Usage != nil && t.req.Organisation != "" {
		t.undoUsage = t.f.Usage.RequestStarted(t.req.Organisation)
	}
}

// revertUsage reverts recordUsage if no upstream runs or may have run the request.
func (t *dispatch) revertUsage() {
	if t.undoUsage != nil && t.possibleRuns() == 0 {
		t.undoUsage()
		t.undoUsage = nil
	}
}

// chooseUpstream returns an upstream that was not tried yet. If there is none and no
// attempt is in flight, it returns one that was tried before, and nil if there is none
// at all.
func (t *dispatch) chooseUpstream() *catalog.Upstream {
	q := policy.Query{
		Random: rand.Uint64(),
		Now:    t.f.Timer.Now(),
		Tried:  t.tried,
	}
	var p policy.Policy = policy.TwoChoices{}
	if t.req.Route.Repeatable() && t.sent == 0 {
		// Prefer idle connections only for the first attempt of a repeatable
		// request: others are sent over a connection of their own, and a second
		// attempt needs the least loaded upstream.
		p = policy.IdleConnection{}
	}
	c := p.Choose(t.group.Set, q)
	if c.Upstream == nil && t.inFlight == 0 {
		q.Tried = [policy.MaxTried]*upstream.Upstream{}
		c = policy.TwoChoices{}.Choose(t.group.Set, q)
	}
	if c.Upstream == nil {
		return nil
	}
	for _, u := range t.group.Upstreams {
		if u.Upstream == c.Upstream {
			return u
		}
	}
	return nil
}

// cancelOthers cancels all attempts except the winner, whose answer may still be
// streaming; winner is nil if there is none. An attempt that took more than
// slowAttemptFactor times as long as the winner counts as a failure of its upstream.
func (t *dispatch) cancelOthers(winner *attemptResult) {
	for i, cancel := range t.cancels {
		if winner != nil && i == winner.attempt && winner.answer != nil && winner.answer.Stream != nil {
			continue
		}
		cancel()
	}
	t.cancels = nil
	if t.inFlight == 0 {
		return
	}
	pending := t.inFlight
	t.inFlight = 0
	go func() {
		for range pending {
			r := <-t.results
			if winner != nil && r.took > slowAttemptFactor*winner.took {
				r.u.Failed(t.f.Timer.Now())
				continue
			}
			r.u.Cancelled()
		}
	}()
}
