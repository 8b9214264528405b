package schedule

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestScoring(t *testing.T) {
	is := is.New(t)
	var s ScoringTime
	is.Equal(s.Left(0), time.Duration(0))
	s.Record(400 * time.Millisecond)
	for range 200 {
		s.Record(240 * time.Millisecond)
	}
	is.True(s.Left(0) > 235*time.Millisecond && s.Left(0) < 245*time.Millisecond)
	is.True(s.Left(100*time.Millisecond) < 145*time.Millisecond)
	is.True(s.Left(time.Second) > 50*time.Millisecond) // it may be answered at any moment
}

// Guards against a read that reaches its longest wait while the last text of a step is
// being scored, because the estimated end of the step left scoring out.
func TestStepEndEstimateIncludesScoring(t *testing.T) {
	is := is.New(t)
	const runs = 400
	const scoringTime = 250 * time.Millisecond
	var s ScoringTime
	s.Record(scoringTime)
	var before, after time.Duration
	for i := range runs {
		end := 4*time.Second + time.Duration(i)*10*time.Millisecond
		estimateError := time.Duration(i%5-2) * 60 * time.Millisecond
		before += simulateReads(end, estimateError-scoringTime, true)
		after += simulateReads(end, estimateError-scoringTime+s.Left(0), true)
	}
	t.Logf("seen after the end: %s without the time of scoring, %s with it", before/runs, after/runs)
	is.True(before/runs > 80*time.Millisecond) // the simulated reads reproduce the failure
	is.True(after/runs < 50*time.Millisecond)
}
