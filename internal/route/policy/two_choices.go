package policy

import "github.com/egretbend/egretbend/internal/route/upstream"

func init() { registry.Add("two_choices", TwoChoices{}) }

// TwoChoices draws two upstreams at random, or Query.Choices if that is more, and
// chooses the one with the least estimated load (power of two choices). An outdated
// report then misleads only the requests that happened to draw its upstream.
type TwoChoices struct{}

// Choose implements Policy.
func (TwoChoices) Choose(s *upstream.Set, q Query) Choice {
	a := drawEligible(s, &q, q.Random, nil)
	if a == nil {
		return chooseEjected(s, &q)
	}
	random := q.Random
	for range max(2, q.Choices) - 1 {
		random = splitMix64(random ^ 1)
		if b := drawEligible(s, &q, random, a); b != nil && q.score(b) < q.score(a) {
			a = b
		}
	}
	return Choice{
		Upstream:   a,
		Candidates: len(s.Upstreams),
		Reason:     ReasonLeastLoaded,
	}
}
