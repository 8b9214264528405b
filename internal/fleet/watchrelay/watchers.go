package watchrelay

import (
	"cmp"
	"slices"

	"github.com/egretbend/egretbend/internal/fleet/member"
	"github.com/egretbend/egretbend/internal/fleet/registry"
)

// Numbers of watchers.
const (
	// followersPerWatcher is the number of instances that one watcher serves: at
	// most some fifty answers a second, which take a hundredth of the processor of
	// a large instance. Each further watcher costs one call of the service for
	// each change of the list of upstreams.
	followersPerWatcher = 24
	// spareWatchers is the number of additional watchers, so that the loss of one
	// leaves enough of them.
	spareWatchers = 1
	// maxWatchersAsked is the number of watchers that a follower asks before it
	// calls the service itself. The service may reject the calls of a third of all
	// instances: with two watchers asked, one follower in nine called the service
	// itself, once a second for each prefix.
	maxWatchersAsked = 4
)

// askedWatchers are the watchers that an instance queries by a view of the instances.
type askedWatchers struct {
	self     string
	view     []registry.Member
	watchers []registry.Member
}

// isFor reports whether a was computed from a view, which is never changed in place.
func (a *askedWatchers) isFor(self string, view []registry.Member) bool {
	return a != nil && a.self == self && len(a.view) == len(view) && (len(view) == 0 || &a.view[0] == &view[0])
}

// Watchers returns those of the given instances that watch the service. They are
// chosen by a rendezvous hash within each failure domain, so that instances with
// slightly different views agree on nearly all of them, and only from the instances
// eligible for batches: these renew their registration more often and have the
// processor and the link for many followers.
func Watchers(members []registry.Member) []registry.Member {
	staying := 0
	for _, m := range members {
		if !m.Leaving {
			staying++
		}
	}
	eligible := registry.Eligible(members)
	n := (staying+followersPerWatcher-1)/followersPerWatcher + spareWatchers
	return spread(rank(eligible, "watch"), min(n, len(eligible)))
}

// spread returns n of the given members, which are ordered by rank: the first one of each failure
// domain, then the second one of each, and so on. The loss of a domain leaves the others.
func spread(ranked []registry.Member, n int) []registry.Member {
	list := make([]registry.Member, 0, n)
	picked := make([]bool, len(ranked))
	for round := 1; len(list) < n; round++ {
		byDomain := make(map[string]int)
		for i := range ranked {
			domain := ranked[i].FailureDomain
			byDomain[domain]++
			if !picked[i] && byDomain[domain] == round && len(list) < n {
				picked[i] = true
				list = append(list, ranked[i])
			}
		}
	}
	return list
}

// rank orders members by their rendezvous hash for a key.
func rank(members []registry.Member, key string) []registry.Member {
	type scored struct {
		score uint64
		index int
	}
	list := make([]scored, len(members))
	for i := range members {
		list[i] = scored{score: member.Score(members[i].Name, key), index: i}
	}
	slices.SortFunc(list, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	ranked := make([]registry.Member, len(list))
	for i, s := range list {
		ranked[i] = members[s.index]
	}
	return ranked
}

// IsWatcher reports whether this instance is a watcher.
func (r *Relay) IsWatcher() bool { return len(r.watchersToAsk()) == 0 }

func contains(members []registry.Member, name string) bool {
	return slices.ContainsFunc(members, func(m registry.Member) bool { return m.Name == name })
}

// watchersToAsk returns the watchers to query, in order, or nothing if this instance
// is a watcher itself. It is computed once for each view, as each query and each
// answer needs it.
func (r *Relay) watchersToAsk() []registry.Member {
	self, view := r.Registry.Self().Name, r.Registry.Members()
	if known := r.asked.Load(); known.isFor(self, view) {
		return known.watchers
	}
	asked := &askedWatchers{
		self: self,
		view: view,
	}
	if watchers := Watchers(view); !contains(watchers, self) {
		asked.watchers = spread(rank(watchers, self), min(maxWatchersAsked, len(watchers)))
	}
	r.health.forget(asked.watchers)
	r.asked.Store(asked)
	return asked.watchers
}
