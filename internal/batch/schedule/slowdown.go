package schedule

import "time"

// Slowdown is a slowdown of an engine by other users of its machine, as the engine last
// reported it. The zero value is none.
//
// It is designed for engines of which a third is four times slower at any moment, for 0.6 s on
// average: most of 7,600 attempts of a day that ended badly, 2,200, were streams moved for it.
// Engines report with the beginning of a stream only.
type Slowdown struct {
	// Ratio is how many times longer work takes than usual; 1 or less if there is no
	// slowdown or none is known.
	Ratio float64
	// Age is the age of the report, and Lasts the time since the first one of the slowdown.
	Age, Lasts time.Duration
}

const (
	// slowdownTime is the usual length of a slowdown.
	slowdownTime = 600 * time.Millisecond
	// maxSlowdownAge is the greatest age of a report by which an item is placed. Half of
	// the slowdowns are over when a report is older.
	maxSlowdownAge = 300 * time.Millisecond
	// maxExplained is the longest time for which a slowdown explains that a stream is
	// slow. A longer one is of another kind, as of an engine that fails.
	maxExplained = time.Second
	// unknownDuration stands in for the run time of an item of unknown length.
	unknownDuration = 2 * time.Second
)

// cost returns the time that an item of the given run time loses at the engine by the
// slowdown, as a fraction of the run time.
func (s Slowdown) cost(duration time.Duration) float64 {
	if s.Ratio <= 1 || s.Age >= maxSlowdownAge {
		return 0
	}
	if duration <= 0 {
		duration = unknownDuration
	}
	// An item that ends during the slowdown is slower throughout; another one loses what it
	// would have generated in that time.
	return min(s.Ratio-1, (1-1/s.Ratio)*float64(slowdownTime)/float64(duration))
}

// lostTime returns how much of the time that an attempt ran was lost by a slowdown of the given
// ratio that was reported during it.
func lostTime(ratio float64, ran time.Duration) time.Duration {
	if ratio <= 1 {
		return 0
	}
	return time.Duration((1 - 1/ratio) * float64(min(ran, maxExplained)))
}

// extend returns a time limit for the next event of a running stream, prolonged by what the
// slowdown explains.
func (s Slowdown) extend(limit time.Duration) time.Duration {
	if s.Ratio <= 1 || s.Lasts > maxExplained {
		return limit
	}
	return time.Duration(s.Ratio * float64(limit))
}
