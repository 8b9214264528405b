package policy

import "github.com/egretbend/egretbend/internal/route/upstream"

func init() { registry.Add("two_choices", TwoChoices{}) }

// TwoChoices draws two upstreams and takes the one with less estimated load. A
// late report then misleads only those who happened to draw that upstream.
type TwoChoices struct{}

// Choose implements Policy.
func (TwoChoices) Choose(s *upstream.Set, q Query) Choice {
	a := draw(s, &q, q.Random, nil)
	if a == nil {
		return lastHope(s, &q)
	}
	if b := draw(s, &q, next(q.Random^1), a); b != nil && q.score(b) < q.score(a) {
		a = b
	}
	return Choice{
		Upstream:   a,
		Candidates: len(s.Upstreams),
		Reason:     ReasonTwo,
	}
}
