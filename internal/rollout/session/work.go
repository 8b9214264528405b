package session

import (
	"slices"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/rollout/sample"
)

// Attempt describes an attempt for the runner to start.
type Attempt struct {
	Key        sample.Key
	Deployment string
	Prompt     string
	MaxTokens  int
	// RunningAttempts is the number of attempts at the sample that run, including
	// this one.
	RunningAttempts int
	// Second is set when another attempt at the sample is still running.
	Second bool
	// StepLead is by how many step numbers this step is ahead of the oldest open
	// one.
	StepLead uint64
}

// Limits are the limits on the attempts that Next returns.
type Limits struct {
	// MaxAttempts is the largest number of attempts that run at the same time.
	MaxAttempts int
	// SecondAttempts is the budget of second attempts of a step, as a share of
	// its samples.
	SecondAttempts float64
	// RunAhead is by how many step numbers a step may be ahead of the oldest
	// open one for its attempts to start.
	RunAhead uint64
}

// A running item is a straggler when it has taken more than stragglerFactor times
// as long as its tokens plus stragglerMarginTokens take at the step's median time
// per token. Comparing times per token spends the budget of second attempts on
// slow streams, not on streams that are merely long.
const (
	stragglerFactor       = 1.5
	stragglerMarginTokens = 16
	// maxExtraAttempts is the number of attempts that may run beside the first
	// one. One is not enough, because it may be slow as well: with one slow
	// stream in twenty, this happens in every third step of 128 samples.
	maxExtraAttempts = 2
)

// retryDelay is the time between the failure of an item's last running attempt
// and its next attempt.
const retryDelay = 200 * time.Millisecond

// Next returns the next attempt to start, if there is one. The oldest open step
// comes first, with its pending samples and then with second attempts at its
// stragglers. Later steps follow only after that, because otherwise a second
// attempt for the step that the trainer waits for would queue behind them.
func (s *Session) Next(l Limits, now timer.Instant) (Attempt, bool) {
	if s.runningAttempts >= l.MaxAttempts {
		return Attempt{}, false
	}
	oldest, found := uint64(0), false
	for _, st := range s.stepsByNumber {
		if !st.open() || st.overdue(now) {
			continue
		}
		if !found {
			oldest, found = st.spec.Step, true
		}
		if st.spec.Step > oldest+l.RunAhead {
			break
		}
		lead := st.spec.Step - oldest
		if it := st.nextPending(now); it != nil {
			return s.startAttempt(it, lead, now), true
		}
		if it := st.worstStraggler(l, now); it != nil {
			st.status.SecondAttempts++
			return s.startAttempt(it, lead, now), true
		}
	}
	return Attempt{}, false
}

// Progress records the number of tokens of an attempt at a sample, if no other
// attempt has more.
func (s *Session) Progress(key sample.Key, tokens int, now timer.Instant) {
	it, ok := s.findItem(key)
	if !ok || tokens <= it.tokens {
		return
	}
	if it.tokens == 0 {
		it.firstTokenAt = now
	}
	it.tokens = tokens
}

// nextPending returns the pending item to attempt next, or nil. Items with the
// largest MaxTokens come first. Among those, items of groups with the fewest
// remaining samples come first, so that groups are completed early.
func (st *step) nextPending(now timer.Instant) *item {
	var best *item
	for _, it := range st.itemsByLength {
		if it.state != pending || now < it.retryAt {
			continue
		}
		if best == nil {
			best = it
			continue
		}
		if it.group.MaxTokens < best.group.MaxTokens {
			break
		}
		if st.remainingByGroup[it.key.Group] < st.remainingByGroup[best.key.Group] {
			best = it
		}
	}
	return best
}

// worstStraggler returns the straggler with the largest slowdown. It returns nil
// if there is none or the step's budget of second attempts is used up.
func (st *step) worstStraggler(l Limits, now timer.Instant) *item {
	budget := int(l.SecondAttempts*float64(st.status.Samples) + 0.999)
	if st.status.SecondAttempts >= budget {
		return nil
	}
	median, ok := st.medianTokenTime()
	if !ok {
		return nil
	}
	var best *item
	worst := stragglerFactor
	for _, it := range st.itemsByLength {
		if it.state != running || it.attempts > maxExtraAttempts || it.startedRecently(median, now) {
			continue
		}
		if ratio := it.slowdown(median, now); ratio > worst {
			best, worst = it, ratio
		}
	}
	return best
}

// startedRecently reports whether the last attempt has run for too short a time
// to tell whether it is slow.
func (it *item) startedRecently(median time.Duration, now timer.Instant) bool {
	return float64(now.Sub(it.lastAttemptAt)) < stragglerFactor*float64(median)*stragglerMarginTokens
}

// slowdown returns the ratio of the time that an item has taken to the expected
// time at the median time per token. An item without a token may still wait for
// a slot, and a second attempt would only wait as well. Its expected time is
// therefore that of the whole sample.
func (it *item) slowdown(median time.Duration, now timer.Instant) float64 {
	start, tokens := it.firstTokenAt, it.tokens+stragglerMarginTokens
	if it.tokens == 0 {
		start, tokens = it.firstAttemptAt, it.group.MaxTokens+stragglerMarginTokens
	}
	expected := median * time.Duration(tokens)
	return float64(now.Sub(start)) / float64(max(1, expected))
}

// startAttempt marks an item as running and returns the attempt to start.
func (s *Session) startAttempt(it *item, lead uint64, now timer.Instant) Attempt {
	second := it.state == running
	if !second {
		it.firstAttemptAt = now
		it.attempts = 0
		it.tokens = 0
	}
	it.state = running
	it.lastAttemptAt = now
	it.attempts++
	s.runningAttempts++
	return Attempt{
		Key:             it.key,
		Deployment:      it.step.spec.Deployment,
		Prompt:          it.group.Prompt,
		MaxTokens:       it.group.MaxTokens,
		RunningAttempts: it.attempts,
		Second:          second,
		StepLead:        lead,
	}
}

// Busy reports whether any item is pending. A session that has only running
// items left needs no more capacity, and other sessions may use it.
func (s *Session) Busy() bool {
	for _, st := range s.stepsByNumber {
		if st.open() && st.hasPending() {
			return true
		}
	}
	return false
}

func (st *step) hasPending() bool {
	return slices.ContainsFunc(st.itemsByLength, func(it *item) bool { return it.state == pending })
}

// NeedsResult reports whether Finish would still accept a result for key. Attempts
// poll it, so that they end soon after their step was dropped or another attempt
// finished first.
func (s *Session) NeedsResult(key sample.Key) bool {
	it, ok := s.findItem(key)
	return ok && it.state == running
}

// Finish takes the result of an attempt and reports whether it was accepted. A
// result is ignored if another attempt finished first or the step was dropped.
func (s *Session) Finish(key sample.Key, finished FinishedSample, now timer.Instant) bool {
	s.runningAttempts--
	it, ok := s.findItem(key)
	if !ok || it.state != running {
		return false
	}
	it.step.tokenTimes = append(it.step.tokenTimes, now.Sub(it.firstAttemptAt)/time.Duration(max(1, finished.Tokens)))
	s.makeReady(it, finished)
	return true
}

// Fail records that an attempt ended without a result. The sample becomes pending
// again, after retryDelay, unless another attempt still runs.
func (s *Session) Fail(key sample.Key, now timer.Instant) {
	s.runningAttempts--
	it, ok := s.findItem(key)
	if !ok || it.state != running {
		return
	}
	it.attempts--
	if it.attempts == 0 {
		it.state = pending
		it.retryAt = now.Add(retryDelay)
	}
}

// UndoNext undoes a Next whose attempt was not admitted.
func (s *Session) UndoNext(work Attempt) {
	s.runningAttempts--
	it, ok := s.findItem(work.Key)
	if !ok || it.state != running {
		return
	}
	it.attempts--
	if work.Second {
		it.step.status.SecondAttempts--
		return
	}
	it.state = pending
}

// Recover takes a finished sample from a copy on another instance. It reports
// whether the sample was accepted, which it is only while it is pending.
func (s *Session) Recover(key sample.Key, finished FinishedSample) bool {
	it, ok := s.findItem(key)
	if !ok || it.state != pending {
		return false
	}
	it.step.status.Recovered++
	s.makeReady(it, finished)
	return true
}

// makeReady sets the result of an item and queues it for delivery.
func (s *Session) makeReady(it *item, finished FinishedSample) {
	it.state = ready
	it.result = finished
	s.ready = append(s.ready, it)
}

func (s *Session) findItem(key sample.Key) (*item, bool) {
	st, ok := s.steps[key.Step]
	if !ok {
		return nil, false
	}
	it, ok := st.items[key]
	return it, ok
}

// medianDuration returns the upper median of a list that is not empty.
func medianDuration(list []time.Duration) time.Duration {
	sorted := slices.Clone(list)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}
