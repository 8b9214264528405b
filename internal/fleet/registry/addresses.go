package registry

import (
	"math/rand/v2"
	"slices"
)

// Client describes where a caller of instances is.
type Client struct {
	FailureDomain string
	// Region is the caller's own region.
	Region string
	// Rank ranks the other regions by whether requests of the caller may be seen there, 0 being
	// the best; nil means that they may be seen in all regions.
	Rank func(region string) int
}

// minAddresses is the smallest number of instances of its own region that a caller connects to
// while its requests may be seen in other regions as well: with fewer, a caller may find none
// that serves, as while instances restart.
const minAddresses = 3

// inBestRegions returns the members in the caller's own region, if there are any, and else
// those in the regions that rank best. Without a rank, the own region needs minAddresses.
func (c Client) inBestRegions(members []Member) []Member {
	if c.Rank == nil {
		own := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Region != c.Region })
		if len(own) < minAddresses {
			return members
		}
		return own
	}
	var best []Member
	bestRank := 0
	for _, m := range members {
		rank := -1
		if m.Region != c.Region || c.Region == "" {
			rank = max(0, c.Rank(m.Region))
		}
		if len(best) == 0 || rank < bestRank {
			best, bestRank = nil, rank
		}
		if rank == bestRank {
			best = append(best, m)
		}
	}
	return best
}

// EntryAddresses returns at most n addresses that a caller may connect to, those in
// its failure domain first. Leaving instances are excluded.
func (r *Registry) EntryAddresses(c Client, n int) []string {
	serving := slices.DeleteFunc(slices.Clone(r.Members()), func(m Member) bool { return m.Leaving || m.EntryAddress == "" })
	var sameDomain, otherDomains []string
	for _, m := range c.inBestRegions(serving) {
		switch {
		case m.FailureDomain == c.FailureDomain:
			sameDomain = append(sameDomain, m.EntryAddress)
		default:
			otherDomains = append(otherDomains, m.EntryAddress)
		}
	}
	rand.Shuffle(len(otherDomains), func(i, j int) { otherDomains[i], otherDomains[j] = otherDomains[j], otherDomains[i] })
	all := append(sameDomain, otherDomains...)
	return all[:min(n, len(all))]
}
