package upstream

import (
	"math"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// smoothPace adds a measurement, bounded to maxJump times the smoothed pace, to the smoothed
// pace with the given weight. It reports false and does nothing if pace is not positive.
func (u *Upstream) smoothPace(pace time.Duration, weight, maxJump float64) bool {
	if pace <= 0 {
		return false
	}
	old := u.Pace()
	if old == 0 {
		old = pace.Seconds()
	}
	bounded := min(pace.Seconds(), maxJump*old)
	u.pace.Store(math.Float64bits(old + weight*(bounded-old)))
	if u.Shared != nil {
		u.Shared.paceChanges.Add(1)
	}
	return true
}

// RecordPace records a pace measured over many events of one request. Its weight is high
// so that it counts at once: a stream that left a slow engine would otherwise return to it, as
// the one with the most free slots.
func (u *Upstream) RecordPace(pace time.Duration, now timer.Instant) {
	if old := u.Pace(); old > 0 && pace > 0 {
		noise := min(1, math.Abs(pace.Seconds()-old)/old)
		u.paceNoise.Store(math.Float64bits(u.PaceNoise() + measuredPaceWeight*(noise-u.PaceNoise())))
	}
	if u.smoothPace(pace, measuredPaceWeight, math.Inf(1)) {
		u.paceMeasuredAt.Store(int64(now))
	}
}

// PaceNoise returns by how much measured paces differ from the smoothed pace, relative to it,
// or zero if unknown.
func (u *Upstream) PaceNoise() float64 { return math.Float64frombits(u.paceNoise.Load()) }

// RelativePace returns the ratio of the pace to usual, which is in seconds, or 1 if either is
// unknown. The ratio decays towards 1 while the pace is not measured.
func (u *Upstream) RelativePace(usual float64, now timer.Instant) float64 {
	pace := u.Pace()
	if usual <= 0 || pace <= 0 {
		return 1
	}
	halfLives := float64(now.Sub(timer.Instant(u.paceMeasuredAt.Load()))) / float64(paceHalfLife)
	return 1 + (pace/usual-1)*math.Exp2(-max(0, halfLives))
}

// Pace returns the smoothed time per unit of work in seconds, or zero if unknown.
func (u *Upstream) Pace() float64 { return math.Float64frombits(u.pace.Load()) }

// Slow reports whether the pace is above slowThreshold times the median of the set.
func (u *Upstream) Slow() bool {
	return math.Float64frombits(u.slowness.Load()) > slowThreshold
}

// updateSlowness stores the ratio of the upstream's pace to the median of its set.
func (u *Upstream) updateSlowness(median float64) {
	if median <= 0 || u.Pace() == 0 {
		return
	}
	u.slowness.Store(math.Float64bits(u.Pace() / median))
}
