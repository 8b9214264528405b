package limit

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// How the limit of a gate adapts.
const (
	// floor is the smallest limit.
	floor = 2
	// shrink is what is left of the limit after a refusal by an upstream.
	shrink = 0.85
	// shrinkPause is the least time between two shrinks: the refusals of one
	// burst are one piece of news.
	shrinkPause = 100 * time.Millisecond
	// crowded is the use of the limit above which fair shares are enforced.
	crowded = 0.7
	// idleCaller is after how long without requests a caller has no share.
	idleCaller = 2 * time.Second
)

// gate is the limiter of one deployment. Its counters change by atomics.
type gate struct {
	limit    atomic.Uint64
	inFlight atomic.Int64
	started  atomic.Bool
	shrunk   atomic.Int64
	callers  sync.Map // of string to *share
	weights  atomic.Uint64
	swept    atomic.Int64
}

// share is one caller's part of a gate.
type share struct {
	inFlight atomic.Int64
	seen     atomic.Int64
	weight   atomic.Uint64
}

func (g *gate) load() float64       { return math.Float64frombits(g.limit.Load()) }
func (g *gate) store(limit float64) { g.limit.Store(math.Float64bits(limit)) }

// begin sets the first limit. It is the whole capacity: one trainer's session
// may rightly need all of it from its first moment, and where many instances
// begin at once, the first refusals bring their limits down within a second.
func (g *gate) begin(capacity float64) {
	if g.load() == 0 {
		g.store(max(floor, capacity))
	}
}

// grew raises the limit after a good answer: quickly until the first refusal,
// by about one for each limit's worth of answers after it.
func (g *gate) grew(capacity float64) {
	limit := g.load()
	if float64(g.inFlight.Load()) < limit/2 {
		return
	}
	step := 1.0
	if g.started.Load() {
		step = 1 / limit
	}
	g.store(min(limit+step, max(floor, capacity)))
}

// shrank lowers the limit after an upstream refused or timed out.
func (g *gate) shrank(now timer.Instant) {
	last := g.shrunk.Load()
	if now.Sub(timer.Instant(last)) < shrinkPause || !g.shrunk.CompareAndSwap(last, int64(now)) {
		return
	}
	g.started.Store(true)
	g.store(max(floor, g.load()*shrink))
}

// caller returns the share of a caller and notes that it is active.
func (g *gate) caller(name string, weight float64, now timer.Instant) *share {
	v, known := g.callers.Load(name)
	if !known {
		v, _ = g.callers.LoadOrStore(name, &share{})
	}
	s := v.(*share)
	s.seen.Store(int64(now))
	s.weight.Store(math.Float64bits(weight))
	if !known {
		// Until it is counted, a new caller would have no bound.
		g.swept.Store(0)
	}
	g.sweep(now)
	return s
}

// sweep sums the weights of active callers and forgets idle ones, at most
// every half second.
func (g *gate) sweep(now timer.Instant) {
	last := g.swept.Load()
	if last != 0 && now.Sub(timer.Instant(last)) < idleCaller/4 {
		return
	}
	if !g.swept.CompareAndSwap(last, int64(now)) {
		return
	}
	sum := 0.0
	g.callers.Range(func(key, v any) bool {
		s := v.(*share)
		if s.inFlight.Load() == 0 && now.Sub(timer.Instant(s.seen.Load())) > idleCaller {
			g.callers.Delete(key)
			return true
		}
		sum += math.Float64frombits(s.weight.Load())
		return true
	})
	g.weights.Store(math.Float64bits(sum))
}

// overShare reports whether a caller has more than its weighted part of the
// limit.
func (g *gate) overShare(s *share, limit float64) bool {
	sum := math.Float64frombits(g.weights.Load())
	weight := math.Float64frombits(s.weight.Load())
	if sum <= weight {
		return false
	}
	return float64(s.inFlight.Load()) >= max(1, limit*weight/sum)
}
