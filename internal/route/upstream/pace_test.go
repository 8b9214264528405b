package upstream

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// Engines of an older kind stay slow for good. When their pace was forgotten within three
// seconds, they got the longest items of the next step. The pace of an engine that was slow for
// a while must fade all the same, as the engine gets no work that would show its recovery.
func TestPaceFadesSlowly(t *testing.T) {
	is := is.New(t)
	const usual = 0.05
	u := &Upstream{Slots: 8}
	now := timer.Instant(time.Hour)
	is.Equal(u.RelativePace(usual, now), 1.0) // unknown
	u.RecordPace(65*time.Millisecond, now)
	is.True(u.RelativePace(usual, now) > 1.29)
	is.True(u.RelativePace(usual, now.Add(4*time.Second)) > 1.2)
	is.True(u.RelativePace(usual, now.Add(time.Minute)) < 1.01)
	// One slow measurement counts, but does not replace the smoothed pace.
	u.RecordPace(200*time.Millisecond, now)
	is.True(u.RelativePace(usual, now) > 2 && u.RelativePace(usual, now) < 3)
}

// An engine without an event from any stream is not alive; one that produces events for any
// stream is.
func TestSilentEngineIsNotAlive(t *testing.T) {
	is := is.New(t)
	u := &Upstream{Slots: 8}
	now := timer.Instant(time.Hour)
	is.True(!u.Alive(now))
	u.RecordEvent(now)
	is.True(u.Alive(now.Add(maxEventGap / 2)))
	is.True(!u.Alive(now.Add(maxEventGap)))
}
