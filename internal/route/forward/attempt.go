package forward

import (
	"context"
	"math/rand/v2"

	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/route/catalog"
	"github.com/egretbend/egretbend/internal/route/policy"
	"github.com/egretbend/egretbend/internal/route/upstream"
)

// start sends the request to one more upstream.
func (t *trip) start(ctx context.Context) error {
	choice := t.choose()
	if choice == nil {
		return problem.NoUpstream.Withf("none of %d upstreams can be used", len(t.group.Upstreams)).
			WithRetryAfter(retryAfterNone)
	}
	ctx, cancel := context.WithCancel(ctx)
	t.cancels = append(t.cancels, cancel)
	n := t.sent
	t.tried[n] = choice.Upstream
	t.sent++
	t.flying++
	choice.Begin()
	t.count()
	begun := t.f.Timer.Now()
	left := t.ends.Sub(begun)
	go func() {
		answer, err := t.f.Sender.Send(ctx, choice, t.req, left)
		t.results <- result{
			n:      n,
			u:      choice,
			answer: answer,
			err:    err,
			took:   t.f.Timer.Now().Sub(begun),
		}
	}()
	return nil
}

// count counts the request when it is first sent.
func (t *trip) count() {
	if t.undo == nil && t.f.Usage != nil && t.req.Organisation != "" {
		t.undo = t.f.Usage.Began(t.req.Organisation)
	}
}

// uncount takes that back if no upstream runs it.
func (t *trip) uncount() {
	if t.undo != nil && t.ranAttempts() == 0 {
		t.undo()
		t.undo = nil
	}
}

// choose picks an upstream that was not tried yet, or failing that any that is
// not at work on the request now.
func (t *trip) choose() *catalog.Upstream {
	q := policy.Query{
		Random: rand.Uint64(),
		Now:    t.f.Timer.Now(),
		Tried:  t.tried,
	}
	var p policy.Policy = policy.TwoChoices{}
	if t.req.Route.Repeatable() && t.sent == 0 {
		// What may not be repeated goes over a connection of its own, and a
		// second attempt looks for the least loaded upstream.
		p = policy.Warm{}
	}
	c := p.Choose(t.group.Set, q)
	if c.Upstream == nil && t.flying == 0 {
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

// cancel ends all attempts but the winner. Their upstreams were slower than
// another one; they are told to stop.
func (t *trip) cancel(winner *result) {
	for i, cancel := range t.cancels {
		if winner != nil && i == winner.n && winner.answer != nil && winner.answer.Stream != nil {
			continue
		}
		cancel()
	}
	t.cancels = nil
	if t.flying == 0 {
		return
	}
	left := t.flying
	t.flying = 0
	go func() {
		for range left {
			r := <-t.results
			if winner != nil && r.took > slowLoser*winner.took {
				r.u.Failed(t.f.Timer.Now())
				continue
			}
			r.u.Ended()
		}
	}()
}
