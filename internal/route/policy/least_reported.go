package policy

import "github.com/egretbend/egretbend/internal/route/upstream"

func init() { registry.Add("least_reported", LeastReported{}) }

// LeastReported chooses the upstream whose last report shows the least load. It is a
// baseline for measurements: until the next report, all instances pick the same
// upstream (thundering herd).
type LeastReported struct{}

// Choose implements Policy.
func (LeastReported) Choose(s *upstream.Set, q Query) Choice {
	var best *upstream.Upstream
	start := int(q.Random % uint64(max(1, len(s.Upstreams))))
	for i := range s.Upstreams {
		u := s.Upstreams[(start+i)%len(s.Upstreams)]
		if q.eligible(u) && (best == nil || u.ReportedLoad() < best.ReportedLoad()) {
			best = u
		}
	}
	if best == nil {
		return chooseEjected(s, &q)
	}
	return Choice{
		Upstream:   best,
		Candidates: len(s.Upstreams),
		Reason:     ReasonLeastReported,
	}
}
