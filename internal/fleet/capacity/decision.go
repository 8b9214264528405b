package capacity

import (
	"cmp"
	"math"
	"slices"

	"github.com/egretbend/egretbend/internal/route/residency"
)

// slotsPerItem is the number of slots to provide for each item of the steps that trainers
// request repeatedly. It is above 1 because steps overlap and some engines are slow,
// loading weights or lost.
const slotsPerItem = 1.25

// Group describes the engines of one upstream group and the demand for them.
type Group struct {
	// Slots is the number of items that one engine runs at once.
	Slots int
	// MaxPerDomain is the maximum number of engines of both kinds in a failure domain.
	MaxPerDomain int
	// Items is the number of items that may have to run at once.
	Items int
	// Restricted lists the part of Items that may run only in some regions.
	Restricted []Work
	Domains    []Domain
}

// Work is a number of items that may run in the same regions.
type Work struct {
	Items   int
	Regions residency.Regions
}

// Domain describes the engines of a group in one failure domain.
type Domain struct {
	Name   string
	Region string
	// Price is the price of an on-demand engine, relative to other domains.
	Price float64
	// OnDemand and Reclaimable are the numbers of engines of each kind, without
	// those that are leaving.
	OnDemand    int
	Reclaimable int
	// OutOfCapacity says that the domain recently refused an order for lack of capacity.
	OutOfCapacity bool
}

// Target is the number of reclaimable engines that a failure domain should have.
type Target struct {
	Domain string
	Count  int
}

// Targets returns the targets of all domains, in the order of g.Domains. While there is any
// work, no target is below the present number of engines, because the platform, not the
// caller, chooses which engines it removes.
func Targets(g Group) []Target {
	if g.Slots <= 0 {
		return nil
	}
	targets := make([]Target, len(g.Domains))
	// free holds the engines of each domain that are not needed for other items yet.
	free := make([]int, len(g.Domains))
	for i, d := range g.Domains {
		targets[i].Domain = d.Name
		free[i] = d.OnDemand
		if d.OutOfCapacity {
			// Keep the present engines; an order for more would be refused.
			targets[i].Count = d.Reclaimable
			free[i] += d.Reclaimable
		}
	}
	for _, w := range g.work() {
		needed := int(math.Ceil(float64(w.Items) * slotsPerItem / float64(g.Slots)))
		for i, d := range g.Domains {
			if w.Regions.Allows(d.Region) {
				used := min(max(needed, 0), free[i])
				free[i] -= used
				needed -= used
			}
		}
		for ; needed > 0; needed-- {
			i := nextDomain(g, targets, w.Regions)
			if i < 0 {
				break
			}
			targets[i].Count++
		}
	}
	for i, d := range g.Domains {
		if g.Items > 0 {
			targets[i].Count = max(targets[i].Count, d.Reclaimable)
		}
	}
	return targets
}

// work returns all items by their regions. Those that may run in the fewest domains come first,
// as the others can use what is left.
func (g Group) work() []Work {
	list := slices.Clone(g.Restricted)
	slices.SortStableFunc(list, func(a, b Work) int { return cmp.Compare(g.domainsIn(a.Regions), g.domainsIn(b.Regions)) })
	unrestricted := g.Items
	for _, w := range list {
		unrestricted -= w.Items
	}
	return append(list, Work{Items: unrestricted})
}

// domainsIn returns the number of domains in the given regions.
func (g Group) domainsIn(regions residency.Regions) int {
	n := 0
	for _, d := range g.Domains {
		if regions.Allows(d.Region) {
			n++
		}
	}
	return n
}

// nextDomain returns the index of the domain in the given regions that gets one more engine, or
// -1 if none can take one. It is the domain with the lowest target, and the cheapest of those, so that
// the reclaim of one domain takes the smallest possible share of the engines.
func nextDomain(g Group, targets []Target, regions residency.Regions) int {
	available := make([]int, 0, len(g.Domains))
	for i, d := range g.Domains {
		if regions.Allows(d.Region) && !d.OutOfCapacity && d.OnDemand+targets[i].Count < g.MaxPerDomain {
			available = append(available, i)
		}
	}
	if len(available) == 0 {
		return -1
	}
	return slices.MinFunc(available, func(a, b int) int {
		return cmp.Or(cmp.Compare(targets[a].Count, targets[b].Count), cmp.Compare(g.Domains[a].Price, g.Domains[b].Price))
	})
}
