package policy

import (
	"github.com/egretbend/egretbend/internal/fleet/version"
	"github.com/egretbend/egretbend/internal/kernel/part"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/upstream"
)

// Query holds the inputs of a choice other than the upstream set.
type Query struct {
	// Random is a fresh random number that seeds this choice.
	Random uint64
	// PrefixHash is the hash of the prompt's prefix, or zero if there is none.
	PrefixHash uint64
	Now        timer.Instant
	// Oldest is the oldest acceptable weight version; the zero version accepts all.
	Oldest version.Version
	// Newest is the newest weight version. If PreferNewest is set, upstreams with
	// older weights score worse.
	Newest       version.Version
	PreferNewest bool
	// Choices is how many randomly drawn upstreams are compared; less than two means
	// two.
	Choices int
	// Tried holds the upstreams that must not be chosen, such as those that the
	// request was already sent to. The first nil entry ends the list.
	Tried [MaxTried]*upstream.Upstream
}

// MaxTried is the maximum number of attempts of one request, and so of upstreams in
// Query.Tried.
const MaxTried = 10

// Reason is the logged keyword for why an upstream was chosen.
type Reason string

// The reasons of the policies.
const (
	// ReasonNone means that no upstream matched the query.
	ReasonNone Reason = "none"
	// ReasonRandom means that the upstream was drawn at random.
	ReasonRandom Reason = "random"
	// ReasonLeastReported means that its last report showed the least load.
	ReasonLeastReported Reason = "least_reported"
	// ReasonLeastLoaded means that it was the least loaded of those drawn.
	ReasonLeastLoaded Reason = "less_loaded_of_two"
	// ReasonPrefix means that it was chosen for the prompt's prefix.
	ReasonPrefix Reason = "prefix"
	// ReasonSpill means that no upstream for the prefix was eligible, fast and
	// free enough, and that the choice of TwoChoices was taken.
	ReasonSpill Reason = "prefix_spill"
	// ReasonIdleConnection means that there was an idle connection to it.
	ReasonIdleConnection Reason = "idle_connection"
	// ReasonAllEjected means that all matching upstreams were ejected for failures, and
	// that one of them was chosen nevertheless.
	ReasonAllEjected Reason = "all_out"
)

// Choice is the result of a policy.
type Choice struct {
	// Upstream is nil if none can be used.
	Upstream *upstream.Upstream
	// Candidates is the number of upstreams in the set.
	Candidates int
	Reason     Reason
}

// Policy chooses an upstream of a set for a query.
type Policy interface {
	Choose(s *upstream.Set, q Query) Choice
}

var registry part.Registry[Policy]

// Find returns the policy registered under name.
func Find(name string) (Policy, error) { return registry.Find(name) }

// Names returns the names of all registered policies.
func Names() []string { return registry.Names() }

// eligible reports whether u may serve the query and is not ejected for failures.
func (q *Query) eligible(u *upstream.Upstream) bool {
	return !u.Ejected(q.Now) && q.matches(u)
}

// matches reports whether u is not leaving or evacuated, may be sent to, has not been tried
// and has recent enough weights, whether or not it is ejected. An upstream whose weight
// version is unknown counts as recent enough.
func (q *Query) matches(u *upstream.Upstream) bool {
	if u.Leaving() || u.Evacuated() {
		return false
	}
	if u.Held(q.Now) {
		// A share lets this instance send to the upstream while it is cold.
		u.WantShare(q.Now)
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
	if q.Oldest.IsZero() {
		return true
	}
	v, ok := u.Version()
	return !ok || !v.Less(q.Oldest)
}

// score returns the load by which upstreams are compared; lower is better. With
// PreferNewest, an upstream with weights older than Newest scores 0.5 worse.
func (q *Query) score(u *upstream.Upstream) float64 {
	load := u.Load(q.Now)
	if !q.PreferNewest || q.Newest.IsZero() {
		return load
	}
	if v, ok := u.Version(); ok && v.Less(q.Newest) {
		return load + 0.5
	}
	return load
}

// maxRandomDraws is how many random positions are tried before a linear scan.
const maxRandomDraws = 6

// drawEligible returns a random eligible upstream other than exclude. It falls back to
// a linear scan, so that it finds one if there is any, and returns nil otherwise.
func drawEligible(s *upstream.Set, q *Query, random uint64, exclude *upstream.Upstream) *upstream.Upstream {
	n := uint64(len(s.Upstreams))
	if n == 0 {
		return nil
	}
	for i := uint64(0); i < maxRandomDraws; i++ {
		random = splitMix64(random)
		u := s.Upstreams[(random>>32)%n]
		if u != exclude && q.eligible(u) {
			return u
		}
	}
	start := (random >> 32) % n
	for i := range n {
		u := s.Upstreams[(start+i)%n]
		if u != exclude && q.eligible(u) {
			return u
		}
	}
	return nil
}

// chooseEjected is the fallback when no upstream is eligible: it chooses one that
// matches the query although it is ejected for failures. Refusing all requests because
// of failure counts would turn a short network fault into an outage.
func chooseEjected(s *upstream.Set, q *Query) Choice {
	n := uint64(len(s.Upstreams))
	for i := range n {
		// Take the remainder before adding i: the sum of a large random number
		// and i would overflow and skip positions.
		u := s.Upstreams[(q.Random%n+i)%n]
		if q.matches(u) {
			return Choice{
				Upstream:   u,
				Candidates: len(s.Upstreams),
				Reason:     ReasonAllEjected,
			}
		}
	}
	return Choice{
		Candidates: len(s.Upstreams),
		Reason:     ReasonNone,
	}
}

// splitMix64 returns the output of the SplitMix64 pseudo-random generator for state x.
func splitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	z := x
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
