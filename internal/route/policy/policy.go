package policy

import (
	"github.com/egretbend/egretbend/internal/fleet/version"
	"github.com/egretbend/egretbend/internal/kernel/part"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/upstream"
)

// Query is what a decision depends on besides the set.
type Query struct {
	// Random is a fresh random number; it stands for the seed of this choice.
	Random uint64
	// Key is the hash of the prompt's prefix, or zero.
	Key uint64
	Now timer.Instant
	// Oldest is the oldest weight version that is of use.
	Oldest version.Version
	// Newest makes upstreams with older weights than this less attractive,
	// if PreferNewest is set.
	Newest       version.Version
	PreferNewest bool
	// Draws is how many upstreams are compared; less than two means two.
	Draws int
	// Tried are upstreams that this request was already sent to.
	Tried [MaxTried]*upstream.Upstream
}

// MaxTried is the most attempts of one request.
const MaxTried = 10

// Reason says why an upstream was chosen, in a word for the log.
type Reason string

// The reasons.
const (
	ReasonNone     Reason = "none"
	ReasonRandom   Reason = "random"
	ReasonLeast    Reason = "least_reported"
	ReasonTwo      Reason = "less_loaded_of_two"
	ReasonPrefix   Reason = "prefix"
	ReasonSpill    Reason = "prefix_spill"
	ReasonWarm     Reason = "idle_connection"
	ReasonLastHope Reason = "all_out"
)

// Choice is a decision. Upstream is nil when none can be used.
type Choice struct {
	Upstream   *upstream.Upstream
	Candidates int
	Reason     Reason
}

// Policy chooses an upstream.
type Policy interface {
	Choose(s *upstream.Set, q Query) Choice
}

var registry part.Registry[Policy]

// Find returns the policy called name.
func Find(name string) (Policy, error) { return registry.Find(name) }

// Names returns the names of all policies.
func Names() []string { return registry.Names() }

// eligible reports whether u may serve the query.
func (q *Query) eligible(u *upstream.Upstream) bool {
	return u.Usable(q.Now) && q.suits(u)
}

// suits reports whether u has not been tried and has weights of use.
func (q *Query) suits(u *upstream.Upstream) bool {
	if u.Leaving() {
		return false
	}
	for _, t := range q.Tried {
		if t == nil {
			break
		}
		if t == u {
			return false
		}
	}
	if q.Oldest.Zero() {
		return true
	}
	v, ok := u.Version()
	return !ok || !v.Less(q.Oldest)
}

// score is the load that the query sees; lower is better.
func (q *Query) score(u *upstream.Upstream) float64 {
	load := u.Load(q.Now)
	if !q.PreferNewest || q.Newest.Zero() {
		return load
	}
	if v, ok := u.Version(); ok && v.Less(q.Newest) {
		return load + 0.5
	}
	return load
}

// probes is how many random places are looked at before a scan.
const probes = 6

// draw returns the eligible upstream at a random place, other than not. It
// falls back to a scan, so that it finds one if there is any.
func draw(s *upstream.Set, q *Query, random uint64, not *upstream.Upstream) *upstream.Upstream {
	n := uint64(len(s.Upstreams))
	if n == 0 {
		return nil
	}
	for i := uint64(0); i < probes; i++ {
		random = next(random)
		u := s.Upstreams[(random>>32)%n]
		if u != not && q.eligible(u) {
			return u
		}
	}
	start := (random >> 32) % n
	for i := range n {
		u := s.Upstreams[(start+i)%n]
		if u != not && q.eligible(u) {
			return u
		}
	}
	return nil
}

// lastHope chooses among those that are out for failures, when all are. To
// refuse everything on the word of a failure count would turn a short fault of
// the network into an outage.
func lastHope(s *upstream.Set, q *Query) Choice {
	n := uint64(len(s.Upstreams))
	for i := range n {
		// The remainder comes first: the sum of a large random number and i
		// would wrap around and leave places out.
		u := s.Upstreams[(q.Random%n+i)%n]
		if q.suits(u) {
			return Choice{
				Upstream:   u,
				Candidates: len(s.Upstreams),
				Reason:     ReasonLastHope,
			}
		}
	}
	return Choice{
		Candidates: len(s.Upstreams),
		Reason:     ReasonNone,
	}
}

// next is a step of a generator of random numbers.
func next(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	z := x
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
