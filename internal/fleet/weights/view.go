package weights

import (
	"maps"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/catalog"
)

// engineView returns the input of Plan for an engine: its listed state, updated by what the
// engine has reported since. The caller holds o.mu.
func (o *Orderer) engineView(u *catalog.Upstream, now timer.Instant) Engine {
	s := o.orderState(u)
	l := u.Listed()
	versions := mergeVersions(l.Versions, s.reported)
	if s.loading && (versions[s.order.Model] >= s.order.Version && s.order.Version > 0 || now >= s.waitUntil) {
		s.loading = false
	}
	e := Engine{
		ID:          u.ID,
		Region:      l.Region,
		Versions:    versions,
		Utilization: u.Load(now),
	}
	if s.loading {
		e.Loading = s.order.Model
	}
	return e
}

// mergeVersions returns the newer of the listed version and the version that the engine
// reported, for each model. Versions only increase during the lifetime of an engine.
func mergeVersions(listed, reported map[string]uint64) map[string]uint64 {
	if len(reported) == 0 {
		return listed
	}
	merged := make(map[string]uint64, len(listed))
	maps.Copy(merged, listed)
	for m, v := range reported {
		merged[m] = max(merged[m], v)
	}
	return merged
}
