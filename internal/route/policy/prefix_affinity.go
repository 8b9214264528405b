package policy

import "github.com/egretbend/egretbend/internal/route/upstream"

func init() { registry.Add("prefix_affinity", PrefixAffinity{}) }

// PrefixAffinity sends prompts with the same prefix to the same upstream, so that its
// prompt cache is hit, as long as that upstream is not much more loaded than the
// choice of TwoChoices.
type PrefixAffinity struct{}

const (
	// affinityRingPoints is how many points of the hash ring are tried.
	affinityRingPoints = 4
	// affinityMaxExtraLoad is how much more loaded than the alternative an
	// upstream may be and still be chosen for its prefixes, unless it has a free
	// slot. Processing a prompt again costs the time of some tokens; waiting for a
	// slot costs that of a whole generation.
	affinityMaxExtraLoad = 0.13
	// freeSlotScore is the score up to which an upstream has a slot free for the
	// request.
	freeSlotScore = 1
)

// Choose implements Policy.
func (PrefixAffinity) Choose(s *upstream.Set, q Query) Choice {
	alternative := TwoChoices{}.Choose(s, q)
	if q.PrefixHash == 0 || alternative.Upstream == nil || alternative.Reason == ReasonAllEjected {
		return alternative
	}
	maxScore := max(freeSlotScore, q.score(alternative.Upstream)+affinityMaxExtraLoad)
	choice := alternative
	choice.Reason = ReasonSpill
	s.WalkRing(q.PrefixHash, affinityRingPoints, func(u *upstream.Upstream) bool {
		// A slow engine loses more time on each token than the cached prompt saves.
		if u.Slow() || !q.eligible(u) || q.score(u) > maxScore {
			return true
		}
		choice.Upstream = u
		choice.Reason = ReasonPrefix
		return false
	})
	return choice
}
