package standby

import (
	"slices"

	"github.com/egretbend/egretbend/internal/route/residency"
)

// plan says which successor gets which batches.
type plan struct {
	// everywhere are the successors for batches that may be stored anywhere.
	everywhere []string
	// inRegions are the successors for batches that may be stored only in some regions, by the
	// key of these, and restrictions the regions by batch. If it is not nil, it has all batches
	// that were open when the plan was made.
	inRegions    map[string][]string
	restrictions map[string]residency.Regions
}

// newPlan returns the plan for the present open batches. successors are those for batches that
// may be stored anywhere.
func (s *Sender) newPlan(successors []string) plan {
	p := plan{
		everywhere: successors,
	}
	if s.Restrictions == nil {
		return p
	}
	p.restrictions = s.Restrictions()
	p.inRegions = make(map[string][]string)
	for _, regions := range p.restrictions {
		if _, ok := p.inRegions[regions.Key()]; !ok && regions.Restricted() {
			p.inRegions[regions.Key()] = s.RegionSuccessors(regions)
		}
	}
	return p
}

// addresses returns all successors.
func (p plan) addresses() []string {
	list := slices.Clone(p.everywhere)
	for _, successors := range p.inRegions {
		for _, address := range successors {
			if !slices.Contains(list, address) {
				list = append(list, address)
			}
		}
	}
	return list
}

// receives reports whether a successor gets the copy of a batch. A former successor gets a last
// heartbeat with the batches that may be stored anywhere. Nobody gets a batch that was opened
// after the plan was made, as its regions are not known: the next heartbeat has it.
func (p plan) receives(address, batch string) bool {
	regions, known := p.restrictions[batch]
	switch {
	case regions.Restricted():
		return slices.Contains(p.inRegions[regions.Key()], address)
	case !known && p.restrictions != nil:
		return false
	}
	return p.rank(address) == 0
}

// rank returns the position, from 1, of a successor that is one only for batches which may be
// stored in some regions, and 0 for any other.
func (p plan) rank(address string) int {
	best := 0
	if slices.Contains(p.everywhere, address) {
		return best
	}
	for _, successors := range p.inRegions {
		if i := slices.Index(successors, address); i >= 0 && (best == 0 || i+1 < best) {
			best = i + 1
		}
	}
	return best
}
