package capacity

import (
	"cmp"
	"math"
	"slices"
)

// spare is how many slots there should be for each item of the steps that come again
// and again: steps overlap, and some engines are slow, loading or lost.
const spare = 1.25

// Group is what is known of the engines of one upstream group.
type Group struct {
	// Slots is what one engine runs at once.
	Slots int
	// Most is the most engines of both kinds together in a failure domain.
	Most int
	// Work is how many items may want to run at once.
	Work    int
	Domains []Domain
}

// Domain is what is known of them in one failure domain.
type Domain struct {
	Name string
	// Price is that of a lasting engine, relative to other domains.
	Price float64
	// Lasting and Reclaimable are the engines there that are not leaving.
	Lasting     int
	Reclaimable int
	// Dry says that no more could be had there a short time ago.
	Dry bool
}

// Target is how many reclaimable engines a failure domain should have.
type Target struct {
	Domain string
	Count  int
}

// Decide returns the targets of all domains, in their order. While there is any work none
// is given back: it is not this side that chooses which engines go.
func Decide(g Group) []Target {
	if g.Slots <= 0 {
		return nil
	}
	targets := make([]Target, len(g.Domains))
	left := int(math.Ceil(float64(g.Work) * spare / float64(g.Slots)))
	for i, d := range g.Domains {
		targets[i].Domain = d.Name
		left -= d.Lasting
		if d.Dry {
			// What is there stays; an order for more would be refused.
			targets[i].Count = d.Reclaimable
			left -= d.Reclaimable
		}
	}
	for ; left > 0; left-- {
		i := next(g, targets)
		if i < 0 {
			break
		}
		targets[i].Count++
	}
	for i, d := range g.Domains {
		if g.Work > 0 {
			targets[i].Count = max(targets[i].Count, d.Reclaimable)
		}
	}
	return targets
}

// next returns the domain that gets one more: the one with the fewest, of several the
// cheapest. One reclaim then takes the least possible share.
func next(g Group, targets []Target) int {
	open := make([]int, 0, len(g.Domains))
	for i, d := range g.Domains {
		if !d.Dry && d.Lasting+targets[i].Count < g.Most {
			open = append(open, i)
		}
	}
	if len(open) == 0 {
		return -1
	}
	return slices.MinFunc(open, func(a, b int) int {
		return cmp.Or(cmp.Compare(targets[a].Count, targets[b].Count), cmp.Compare(g.Domains[a].Price, g.Domains[b].Price))
	})
}
