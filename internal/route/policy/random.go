package policy

import "github.com/egretbend/egretbend/internal/route/upstream"

func init() { registry.Add("random", Random{}) }

// Random chooses an eligible upstream at random. It is a baseline for measurements.
type Random struct{}

// Choose implements Policy.
func (Random) Choose(s *upstream.Set, q Query) Choice {
	u := drawEligible(s, &q, q.Random, nil)
	if u == nil {
		return chooseEjected(s, &q)
	}
	return Choice{
		Upstream:   u,
		Candidates: len(s.Upstreams),
		Reason:     ReasonRandom,
	}
}
