package policy

import "github.com/egretbend/egretbend/internal/route/upstream"

func init() { registry.Add("prefix_affinity", PrefixAffinity{}) }

// PrefixAffinity sends prompts with the same prefix to the same upstream, so
// that its cache is of use, as long as that one is not much fuller than the
// others.
type PrefixAffinity struct{}

const (
	// affinitySteps is how many points of the ring are looked at.
	affinitySteps = 4
	// affinityBound is how much more load than the alternative an upstream may
	// have and still keep its prefixes, unless it has a free slot. Reading a
	// prompt again costs some tokens' time; waiting for a slot costs a whole
	// generation's.
	affinityBound = 0.13
	// freeSlot is the score up to which a slot is free for the request.
	freeSlot = 1
)

// Choose implements Policy.
func (PrefixAffinity) Choose(s *upstream.Set, q Query) Choice {
	other := TwoChoices{}.Choose(s, q)
	if q.Key == 0 || other.Upstream == nil || other.Reason == ReasonLastHope {
		return other
	}
	bound := max(freeSlot, q.score(other.Upstream)+affinityBound)
	choice := other
	choice.Reason = ReasonSpill
	s.Walk(q.Key, affinitySteps, func(u *upstream.Upstream) bool {
		// A slow engine costs more with every token than a cached prompt saves.
		if u.Slow() || !q.eligible(u) || q.score(u) > bound {
			return true
		}
		choice.Upstream = u
		choice.Reason = ReasonPrefix
		return false
	})
	return choice
}
