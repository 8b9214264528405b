package upstream

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// Engines of an older kind stay slow for good. Forgotten within three seconds,
// they got the longest items of the next step. One that was slow for a while must
// be forgotten in the end, as it gets no work that would show its recovery.
func TestPaceIsForgottenSlowly(t *testing.T) {
	is := is.New(t)
	const usual = 0.05
	u := &Upstream{Slots: 8}
	now := timer.Instant(time.Hour)
	is.Equal(u.Against(usual, now), 1.0) // unknown
	u.Measured(65*time.Millisecond, now)
	is.True(u.Against(usual, now) > 1.29)
	is.True(u.Against(usual, now.Add(4*time.Second)) > 1.2)
	is.True(u.Against(usual, now.Add(time.Minute)) < 1.01)
	// A moment of slowness counts, but not as the whole truth.
	u.Measured(200*time.Millisecond, now)
	is.True(u.Against(usual, now) > 2 && u.Against(usual, now) < 3)
}

// An engine whose streams all fell silent is dark; one that makes events for
// others is not.
func TestSilentEngineIsDark(t *testing.T) {
	is := is.New(t)
	u := &Upstream{Slots: 8}
	now := timer.Instant(time.Hour)
	is.True(!u.Lives(now))
	u.Made(now)
	is.True(u.Lives(now.Add(silence / 2)))
	is.True(!u.Lives(now.Add(silence)))
}
