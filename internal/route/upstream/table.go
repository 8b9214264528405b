package upstream

import (
	"sync"
	"sync/atomic"

	"github.com/egretbend/egretbend/internal/fleet/configuration"
	"github.com/egretbend/egretbend/internal/fleet/member"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/roster"
)

// Table holds the Sets of all deployments. Its zero value is empty.
type Table struct {
	mu sync.Mutex
	// domainRegions maps failure domains to their regions.
	domainRegions map[string]string
	sets          atomic.Pointer[map[string]*Set]
}

// Set returns the set of a deployment, or nil.
func (t *Table) Set(deployment string) *Set {
	sets := t.sets.Load()
	if sets == nil {
		return nil
	}
	return (*sets)[deployment]
}

// Sets returns all sets by deployment. The map must not be changed.
func (t *Table) Sets() map[string]*Set {
	sets := t.sets.Load()
	if sets == nil {
		return nil
	}
	return *sets
}

// Build replaces all sets after a change of the configuration or of the instance list.
func (t *Table) Build(cfg *configuration.Configuration, self member.Member, list []roster.Instance, now timer.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	groups := make(map[string][]roster.Instance)
	for _, in := range list {
		groups[in.Group] = append(groups[in.Group], in)
	}
	next := make(map[string]*Set, len(cfg.Deployments))
	for _, d := range cfg.Deployments {
		group := groups[d.Group]
		next[d.Name] = newSet(d, self, group, t.domainRegions, t.Set(d.Name), now)
	}
	t.sets.Store(&next)
}

// DetectOutliers updates the slowness of the upstreams of each set and limits how many are
// ejected. It is called periodically.
func (t *Table) DetectOutliers(now timer.Instant) {
	for _, s := range t.Sets() {
		s.DetectOutliers(now)
	}
}
