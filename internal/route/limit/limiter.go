package limit

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// Limiter decides which requests are let in. Its zero value needs a Timer.
type Limiter struct {
	Timer timer.Service

	gates sync.Map // of string to *gate
}

// Ask is a request that wants to be let in.
type Ask struct {
	Deployment string
	Caller     string
	Class      Class
	Weight     float64
	// Capacity is the number of requests that the deployment's upstreams
	// serve or hold at once, as far as this instance knows.
	Capacity float64
	// Used is the share of the slots that is in use, as far as known.
	Used float64
	// Slots is what Used is a share of.
	Slots float64
	// Share is the share of the slots that the caller may claim while they are
	// short, in the whole fleet; zero claims none in particular.
	Share float64
}

// Result says how an admitted request went.
type Result int

// The results.
const (
	// Good means that it was answered.
	Good Result = iota
	// Pushed means that upstreams refused it or were too slow.
	Pushed
	// Neutral tells nothing about the load.
	Neutral
)

// Pass is an admitted request. It must be closed once.
type Pass struct {
	limiter  *Limiter
	gate     *gate
	share    *share
	capacity float64
}

// Admit lets a request in or refuses it at once with problem.Overloaded.
func (l *Limiter) Admit(a Ask) (*Pass, error) {
	now := l.Timer.Now()
	g := l.gate(a.Deployment)
	g.begin(a.Capacity)
	s := g.caller(a.Caller, a.Weight, now)
	limit := g.load()
	n := float64(g.inFlight.Add(1))
	if reason := refuse(g, s, &a, limit, n); reason != "" {
		g.inFlight.Add(-1)
		return nil, problem.Overloaded.Withf("deployment %q: %s", a.Deployment, reason).
			WithRetryAfter(comeBack(n/limit, a.Used))
	}
	s.inFlight.Add(1)
	return &Pass{
		limiter:  l,
		gate:     g,
		share:    s,
		capacity: a.Capacity,
	}, nil
}

// refuse returns why a request is not let in, or nothing.
func refuse(g *gate, s *share, a *Ask, limit, n float64) string {
	if n > math.Max(1, limit*a.Class.room()) {
		return "its limit is reached for priority " + a.Class.String()
	}
	if a.beyondShare(s) {
		return "others claim their share and this caller has its own"
	}
	if a.Used > a.ceiling() {
		return "its upstreams are too busy for priority " + a.Class.String()
	}
	if n > limit*crowded && g.overShare(s, limit) {
		return "the caller has its fair share in flight"
	}
	return ""
}

// claimCeiling is the ceiling for a caller with a claim to a share that it
// does not use up, so that it gets in where others have filled all slots.
const claimCeiling = 1.6

// claims reports whether others want the same slots.
func (a *Ask) claims() bool { return a.Share > 0 && a.Share < 1 }

// beyondShare reports whether the caller has as much as its share. The share
// is taken of what the class may use in all, so the claims of all fill it. How
// much the others have now is not asked: it is known late, and each of two who
// go by it takes what the other one seems to leave.
func (a *Ask) beyondShare(s *share) bool {
	return a.claims() && float64(s.inFlight.Load()) >= max(1, a.Share*a.Slots*a.Class.ceiling())
}

// ceiling is the use of the deployment above which the request is refused.
func (a *Ask) ceiling() float64 {
	if a.claims() {
		return claimCeiling
	}
	return a.Class.ceiling()
}

// Close ends the request.
func (p *Pass) Close(r Result) {
	p.share.inFlight.Add(-1)
	p.gate.inFlight.Add(-1)
	switch r {
	case Good:
		p.gate.grew(p.capacity)
	case Pushed:
		p.gate.shrank(p.limiter.Timer.Now())
	}
}

// Load returns the use of the fullest gate, from 0 to 1.
func (l *Limiter) Load() float64 {
	most := 0.0
	l.gates.Range(func(_, v any) bool {
		g := v.(*gate)
		if limit := g.load(); limit > 0 {
			most = max(most, float64(g.inFlight.Load())/limit)
		}
		return true
	})
	return min(1, most)
}

// Limit returns the limit and the requests in flight of a deployment.
func (l *Limiter) Limit(deployment string) (limit float64, inFlight int64) {
	g := l.gate(deployment)
	return g.load(), g.inFlight.Load()
}

func (l *Limiter) gate(deployment string) *gate {
	if v, ok := l.gates.Load(deployment); ok {
		return v.(*gate)
	}
	v, _ := l.gates.LoadOrStore(deployment, &gate{})
	return v.(*gate)
}

// Bounds of the time that a refused caller is told to wait.
const (
	comeBackLeast = 200 * time.Millisecond
	comeBackMost  = 10 * time.Second
)

// comeBack is when a refused caller should ask again: later the fuller it is,
// and spread, so that the refused don't all come back at one moment.
func comeBack(fill, used float64) time.Duration {
	base := float64(comeBackLeast) * (1 + max(0, fill-1) + max(0, used))
	d := time.Duration(base * (0.5 + rand.Float64()))
	return min(max(d, comeBackLeast), comeBackMost)
}
