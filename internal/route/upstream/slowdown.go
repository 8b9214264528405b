package upstream

import (
	"math"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

const (
	// minSlowdownPercent is the figure from which on a report counts as one of a slowdown; less
	// has no effect on any decision.
	minSlowdownPercent = 110
	// slowdownLength is above the length of a slowdown by other users of the machine, which is
	// about 0.6 s: two reports within it are of one slowdown, unless one between them is
	// normal.
	slowdownLength = time.Second
	// slowPaceRatio is the ratio to the smoothed pace above which a measured pace may be one of a
	// slowdown that no report told of. The paces of equal engines differ by less.
	slowPaceRatio = 1.15
	// maxSlowPaceGap is the longest time between two slow paces that count as one slowdown. A
	// stream that is four times slower measures a pace in 1.2 s.
	maxSlowPaceGap = 2 * time.Second
)

// Slowdown is what load reports last told of a slowdown of the machine of an upstream.
type Slowdown struct {
	// Ratio is how many times longer work takes than usual; 1 if there is no slowdown or none
	// is known.
	Ratio float64
	// Age is the age of the report, and Lasts the time since the first one of the slowdown.
	Age, Lasts time.Duration
}

// slowdownState is the last slowdown that was reported. It is immutable.
type slowdownState struct {
	ratio     float64
	since, at timer.Instant
	// ended says that a normal report followed.
	ended bool
}

// recordSlowdown records the slowdown in a report that was received at now.
func (u *Upstream) recordSlowdown(percent int, now timer.Instant) {
	if percent <= 0 {
		return
	}
	u.reportsSlowdown.Store(true)
	last := u.slowdown.Load()
	if percent < minSlowdownPercent {
		if last != nil && !last.ended {
			ended := *last
			ended.ended = true
			u.slowdown.Store(&ended)
		}
		return
	}
	next := &slowdownState{
		ratio: float64(percent) / 100,
		since: now,
		at:    now,
	}
	if last != nil && !last.ended && now.Sub(last.at) <= slowdownLength {
		next.since = last.since
	}
	u.slowdown.Store(next)
}

// Slowdown returns the slowdown that the last report told of.
func (u *Upstream) Slowdown(now timer.Instant) Slowdown {
	last := u.slowdown.Load()
	if last == nil || last.ended {
		return Slowdown{Ratio: 1}
	}
	return Slowdown{
		Ratio: last.ratio,
		Age:   now.Sub(last.at),
		Lasts: now.Sub(last.since),
	}
}

// slowdownReach is how long before a measurement a slowdown may have been reported that still
// affects it: half of its usual length.
const slowdownReach = 300 * time.Millisecond

// SlowdownSince returns how many times longer work took during a measurement that began at the
// given time, by the reports; 1 if none told of a slowdown.
func (u *Upstream) SlowdownSince(start timer.Instant) float64 {
	if last := u.slowdown.Load(); last != nil && last.at >= start.Add(-slowdownReach) {
		return last.ratio
	}
	return 1
}

// RecordPaceSince is RecordPace for a measurement that began at the given time. A slowdown that
// was reported during it is taken out, so that it does not make the upstream look like one of an
// older kind; the pace without it is at least the smoothed one, as the slowdown may have been
// shorter than the measurement.
//
// Reports arrive with the beginning of streams only, so most slowdowns are not reported while
// they last. At upstreams that report slowdowns, a pace that is suddenly much higher counts only
// once such paces were measured for longer than a slowdown lasts.
func (u *Upstream) RecordPaceSince(pace time.Duration, start, now timer.Instant) {
	if pace <= 0 || !u.reportsSlowdown.Load() {
		u.RecordPace(pace, now)
		return
	}
	smoothed := u.Pace()
	measured := pace.Seconds()
	measured = max(measured/u.SlowdownSince(start), min(measured, smoothed))
	if smoothed > 0 && measured > slowPaceRatio*smoothed && !u.slowForLong(now) {
		return
	}
	if measured <= slowPaceRatio*smoothed {
		u.slowPace.Store(nil)
	}
	u.RecordPace(time.Duration(math.Round(measured*float64(time.Second))), now)
}

// slowPaces is the time during which paces were much higher than before. It is immutable.
type slowPaces struct{ since, last timer.Instant }

// slowForLong records a slow pace, and reports whether such
// paces have been measured for longer than a slowdown lasts.
func (u *Upstream) slowForLong(now timer.Instant) bool {
	p := slowPaces{since: now, last: now}
	if old := u.slowPace.Load(); old != nil && now.Sub(old.last) <= maxSlowPaceGap {
		p.since = old.since
	}
	u.slowPace.Store(&p)
	return now.Sub(p.since) > slowdownLength
}
