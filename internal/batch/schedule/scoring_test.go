package schedule

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestScoring(t *testing.T) {
	is := is.New(t)
	var s Scoring
	is.Equal(s.Left(0), time.Duration(0))
	s.Took(400 * time.Millisecond)
	for range 200 {
		s.Took(240 * time.Millisecond)
	}
	is.True(s.Left(0) > 235*time.Millisecond && s.Left(0) < 245*time.Millisecond)
	is.True(s.Left(100*time.Millisecond) < 145*time.Millisecond)
	is.True(s.Left(time.Second) > 50*time.Millisecond) // it may be answered any moment
}

// Guards against a read that runs out while the last text of a step is scored.
func TestReadsAreTimedForTheEndOfScoring(t *testing.T) {
	is := is.New(t)
	const plays = 400
	const usual = 250 * time.Millisecond
	var s Scoring
	s.Took(usual)
	var before, after time.Duration
	for i := range plays {
		end := 4*time.Second + time.Duration(i)*10*time.Millisecond
		spread := time.Duration(i%5-2) * 60 * time.Millisecond
		before += trainer(end, spread-usual, true)
		after += trainer(end, spread-usual+s.Left(0), true)
	}
	t.Logf("seen after the end: %s without the time of scoring, %s with it", before/plays, after/plays)
	is.True(before/plays > 80*time.Millisecond) // the load does bring the fault about
	is.True(after/plays < 50*time.Millisecond)
}
