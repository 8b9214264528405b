package policy

import "github.com/egretbend/egretbend/internal/route/upstream"

func init() { registry.Add("two_choices", TwoChoices{}) }

// TwoChoices draws two upstreams, or a few more where the query says so, and
// takes the one with the least estimated load. A late report then misleads
// only those who happened to draw that upstream.
type TwoChoices struct{}

// Choose implements Policy.
func (TwoChoices) Choose(s *upstream.Set, q Query) Choice {
	a := draw(s, &q, q.Random, nil)
	if a == nil {
		return lastHope(s, &q)
	}
	random := q.Random
	for range max(2, q.Draws) - 1 {
		random = next(random ^ 1)
		if b := draw(s, &q, random, a); b != nil && q.score(b) < q.score(a) {
			a = b
		}
	}
	return Choice{
		Upstream:   a,
		Candidates: len(s.Upstreams),
		Reason:     ReasonTwo,
	}
}
