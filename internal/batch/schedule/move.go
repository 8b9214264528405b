package schedule

import "time"

// Progress describes how far the current attempt of an item has come.
type Progress struct {
	// SinceLastEvent is the time since the last event, or since the attempt began.
	SinceLastEvent time.Duration
	// Ran is the time since the attempt began, and Events the number of events that it
	// had.
	Ran    time.Duration
	Events int
	// TotalEvents is the number of events that the item has in total, from all attempts.
	TotalEvents int
	// Moves is how often the item was moved before.
	Moves int
	// ExpectedEvents is the total number of events that the item is expected to have; 0 if
	// unknown.
	ExpectedEvents float64
	// MaxEvents is the largest number of events that it can have; 0 if unknown.
	MaxEvents float64
	// Pace is the pace of its engine, as in Engine, and PaceNoise by how much the measured
	// paces of equal engines differ from one another; 0 if unknown.
	Pace, PaceNoise float64
	// Reading is the time that the engine is expected to need for reading the prompts that
	// are queued there, up to the one of this attempt; 0 if unknown. FirstEventAfter is the
	// time that the first event took.
	Reading         time.Duration
	FirstEventAfter time.Duration
	// MoveCost is the time until the first event after a move: that of a connection and of
	// reading the prompt and the text so far.
	MoveCost time.Duration
	// Slowdown is the slowdown of the engine's machine by its last report, and SlowRatio the
	// Ratio of the last slowdown that was reported during the attempt; 1 or less if none was.
	Slowdown  Slowdown
	SlowRatio float64
}

// Limits for moving streams to other engines.
const (
	// defaultEventInterval stands in for the typical time between events until that is
	// known.
	defaultEventInterval = 60 * time.Millisecond
	// stallIntervals and minStall define a stalled stream: it has been silent for more
	// than stallIntervals typical event intervals, and for more than minStall. Reading a
	// prompt again takes some milliseconds, so moving early costs little; but engines
	// pause for several events while they read the prompts of others.
	stallIntervals = 6
	minStall       = 300 * time.Millisecond
	// readingMargin is the multiple of the expected reading time for which a stream may
	// wait for its first event, as reading times vary with the prompts of other instances.
	// It is at most maxReading: an engine that doesn't respond must be left in any case.
	readingMargin = 1.5
	maxReading    = 1200 * time.Millisecond
	// minPaceEvents is the number of events from which on the pace of an attempt is
	// known.
	minPaceEvents = 4
	// slowStreamFactor is how many times slower than typical a stream must be to move.
	slowStreamFactor = 2.2
	// maxMoves bounds the moves of one item. An item that was moved that often is
	// presumed to fail at every engine.
	maxMoves = 8
	// minPaceRatio is how many times slower than the other engine a stream's own must be
	// for an optional move, beyond the noise of paces.
	minPaceRatio = 1.15
	// minGain is the time that an optional move must save. Each move makes an engine read
	// the text again, and a wrong one is followed by another move.
	minGain = 250 * time.Millisecond
	// maxOptionalMoves is the number of moves of any kind after which an item makes no
	// more optional ones.
	maxOptionalMoves = 3
	// longTailShare is the least number of further events that is expected, as a share
	// of the events so far, also when an item is beyond its estimate. Lengths have a
	// long tail: the longer a text is, the more is still to come.
	longTailShare = 0.5
)

// ShouldMove reports whether an attempt should move to another engine because its
// stream is stalled or much slower than typical. interval is the typical time between
// events, 0 if unknown; hasFreeEngine reports whether an engine that is not slow has a
// free slot.
func ShouldMove(p Progress, interval time.Duration, hasFreeEngine bool) bool {
	return hasFreeEngine && p.Moves < maxMoves && (p.Stalled(interval) || p.Slow(interval))
}

// Stalled reports whether the stream has been silent for too long. Before its first event
// an engine may read the prompts that are queued there: at the start of a step many
// streams have no event after 400 ms, and to move them makes further engines read them.
func (p Progress) Stalled(interval time.Duration) bool {
	limit := max(stallIntervals*usualInterval(interval), minStall)
	if p.Events == 0 {
		limit = max(limit, min(time.Duration(readingMargin*float64(p.Reading)), maxReading))
	}
	return p.SinceLastEvent > p.Slowdown.extend(limit)
}

// Slow reports whether the stream is much slower than typical. The time that reading
// prompts or a reported slowdown explains does not count.
func (p Progress) Slow(interval time.Duration) bool {
	if p.Events < minPaceEvents {
		return false
	}
	explained := min(p.Reading, max(0, p.FirstEventAfter-usualInterval(interval))) + lostTime(p.SlowRatio, p.Ran)
	return (p.Ran-explained)/time.Duration(p.Events) > time.Duration(slowStreamFactor*float64(usualInterval(interval)))
}

// usualInterval returns the typical time between events, or a default if it is unknown.
func usualInterval(interval time.Duration) time.Duration {
	if interval <= 0 {
		return defaultEventInterval
	}
	return interval
}

// HoldMovesUntil returns the age of a step until which nothing is moved for being slow, if
// all engines were slow together at the given age. When the first of them gets through, the
// others need about as long.
func HoldMovesUntil(age time.Duration) time.Duration {
	return min(time.Duration(readingMargin*float64(age)), stepStart)
}

// connectionTime is the time that a new connection to an engine takes. A move closes the
// connection of the stream, so that the engine needs one more later.
const connectionTime = 20 * time.Millisecond

// MoveCost returns the time until the first event after a move to an engine that reads the
// prompt and the text so far in the given time.
func MoveCost(reading time.Duration) time.Duration { return connectionTime + reading }

// Stream is a running stream of a step at an engine.
type Stream struct {
	Engine string
	Progress
}

// Limits of SlowTogether.
const (
	// stepStart is the time from the beginning of a step within which its first items are
	// read; later prompts are read one by one.
	stepStart = 1500 * time.Millisecond
	// minSlowEngines and minSlowShare are the least number of engines, and the least share
	// of those that are usable, that must be slow together. Fewer may have failed.
	minSlowEngines = 4
	minSlowShare   = 0.5
)

// AtStepStart reports whether a step began so recently that its engines may still read its
// prompts.
func AtStepStart(age time.Duration) bool { return age <= stepStart }

// SlowTogether reports whether all engines of a step are slow at its start. They read the
// prompts of the step then, and a stream that moves is read once more by an engine that is
// no faster. age is the time since the step began, usable the number of usable engines.
// Streams then stay until HoldMovesUntil.
func SlowTogether(streams []Stream, usable int, interval, age time.Duration) bool {
	if age > stepStart {
		return false
	}
	slow := make(map[string]bool)
	for _, s := range streams {
		switch {
		case s.Stalled(interval) || s.Slow(interval):
			slow[s.Engine] = true
		case s.Events > 0 || s.SinceLastEvent > minStall/2:
			// A stream that has only just begun says nothing.
			return false
		}
	}
	return len(slow) >= minSlowEngines && float64(len(slow)) >= minSlowShare*float64(usable)
}

// evacuatedFinish is the expected time for which a stream stays at an engine whose failure domain
// is evacuated. The domain may be shut down later: a stream that is cut off then costs its item
// the time until the loss is noticed, besides the move.
const evacuatedFinish = 3 * time.Second

// LeavesEvacuated reports whether a stream should leave an engine whose failure domain is
// evacuated: it would not end soon. interval is the typical time between events.
func LeavesEvacuated(p Progress, interval time.Duration) bool {
	left := time.Duration(p.Remaining() * float64(usualInterval(interval)) * max(1, p.Pace))
	return p.Moves < maxOptionalMoves && left > evacuatedFinish+p.MoveCost
}

// Remaining returns how many further events are expected.
func (p Progress) Remaining() float64 {
	made := float64(p.TotalEvents)
	left := max(p.ExpectedEvents-made, longTailShare*made)
	if p.MaxEvents > made {
		return min(left, p.MaxEvents-made)
	}
	return left
}

// MoveGain returns how much earlier an item would end at an engine of the given pace, or
// zero if moving there is not worth its cost. interval is the typical time between
// events. The seemingly fastest of equal engines is measured too fast, and the seemingly
// slowest too slow, by the noise of paces; an engine whose pace shows that it is failing is
// left whatever the noise.
func MoveGain(p Progress, interval time.Duration, pace float64) time.Duration {
	own := p.Pace
	if own < failingEnginePace {
		own -= p.PaceNoise
		if pace < 1 {
			pace = min(1, pace+p.PaceNoise)
		}
	}
	if p.Events < minPaceEvents || p.Moves >= maxOptionalMoves || own < minPaceRatio*pace {
		return 0
	}
	gain := time.Duration(p.Remaining()*float64(interval)*(own-pace)) - p.MoveCost
	if gain < minGain {
		return 0
	}
	return gain
}
