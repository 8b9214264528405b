package upstream

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/engine"
)

// Guards against an engine that counts as of an older kind because its machine was busy while
// its pace was measured, and against a pace that is recorded as faster than the engine is.
func TestReportedSlowdownIsNotLearned(t *testing.T) {
	is := is.New(t)
	const usual = 50 * time.Millisecond
	now := timer.Instant(time.Hour)
	u := &Upstream{Slots: 8}
	u.RecordReport(engine.LoadReport{SlowdownPercent: 100}, now)
	u.RecordPaceSince(usual, now, now)
	u.RecordReport(engine.LoadReport{SlowdownPercent: 400}, now)
	u.RecordPaceSince(4*usual, now, now.Add(time.Second))
	is.Equal(u.Pace(), usual.Seconds())
	u.RecordPaceSince(3*usual, now, now.Add(time.Second)) // a part of the measurement was not slowed down
	is.Equal(u.Pace(), usual.Seconds())
	u.RecordPaceSince(usual*9/10, now, now.Add(time.Second))
	is.True(u.Pace() > 0.9*usual.Seconds() && u.Pace() < usual.Seconds()) // not divided by four
	// The engine is of an older kind beside its slowdown.
	old := &Upstream{Slots: 8}
	old.RecordReport(engine.LoadReport{SlowdownPercent: 400}, now)
	old.RecordPaceSince(4*65*time.Millisecond, now, now.Add(time.Second))
	is.Equal(old.Pace(), 0.065)
}

// Guards against slowdowns that no report tells of, as reports arrive with new streams only,
// and against an engine that has become slow for good and is never learned to be.
func TestUnreportedSlowdownIsLearnedOnlyIfItLasts(t *testing.T) {
	is := is.New(t)
	const usual = 50 * time.Millisecond
	now := timer.Instant(time.Hour)
	u := &Upstream{Slots: 8}
	u.RecordReport(engine.LoadReport{SlowdownPercent: 100}, now)
	u.RecordPaceSince(usual, now, now)
	now = now.Add(10 * time.Second)
	for range 6 {
		now = now.Add(100 * time.Millisecond)
		u.RecordPaceSince(4*usual, now.Add(-time.Second), now)
	}
	is.Equal(u.Pace(), usual.Seconds())
	u.RecordPaceSince(usual, now.Add(-time.Second), now) // it is over
	now = now.Add(time.Second)
	u.RecordPaceSince(4*usual, now.Add(-time.Second), now)
	is.Equal(u.Pace(), usual.Seconds())
	now = now.Add(1100 * time.Millisecond)
	u.RecordPaceSince(4*usual, now.Add(-time.Second), now) // it lasts
	is.True(u.Pace() > 2*usual.Seconds())
}

// Guards against changed behaviour at engines that don't report slowdowns.
func TestPaceWithoutReportedSlowdown(t *testing.T) {
	is := is.New(t)
	now := timer.Instant(time.Hour)
	u, v := &Upstream{Slots: 8}, &Upstream{Slots: 8}
	u.RecordReport(engine.LoadReport{Slots: 8}, now)
	for n := range 5 {
		pace := time.Duration(50+100*(n%2)) * time.Millisecond
		u.RecordPaceSince(pace, now, now)
		v.RecordPace(pace, now)
		is.Equal(u.Pace(), v.Pace())
	}
	is.Equal(u.Slowdown(now), Slowdown{Ratio: 1})
}

// Guards against a slowdown that is taken for current after a normal report, and against two
// slowdowns that count as one that lasts.
func TestSlowdownOfReports(t *testing.T) {
	is := is.New(t)
	now := timer.Instant(time.Hour)
	u := &Upstream{}
	report := func(percent int) { u.RecordReport(engine.LoadReport{SlowdownPercent: percent}, now) }
	report(400)
	now = now.Add(500 * time.Millisecond)
	report(300)
	now = now.Add(100 * time.Millisecond)
	is.Equal(u.Slowdown(now), Slowdown{Ratio: 3, Age: 100 * time.Millisecond, Lasts: 600 * time.Millisecond})
	report(105)
	is.Equal(u.Slowdown(now), Slowdown{Ratio: 1})
	is.Equal(u.SlowdownSince(now.Add(-time.Second)), 3.0) // it was slow during that time
	report(400)
	is.Equal(u.Slowdown(now).Lasts, time.Duration(0))
	now = now.Add(5 * time.Second)
	is.Equal(u.SlowdownSince(now.Add(-time.Second)), 1.0)
	report(400)
	is.Equal(u.Slowdown(now).Lasts, time.Duration(0))
}
