package session

import (
	"slices"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/rollout/sample"
)

// Work is an attempt that the runner is to make.
type Work struct {
	Key        sample.Key
	Deployment string
	Prompt     string
	MaxTokens  int
	// Attempt counts the attempts of this sample from one.
	Attempt int
	// Second is set when another attempt of the sample is still running.
	Second bool
	// Lead is how many steps are open before this one.
	Lead uint64
}

// Limits bound what Next gives out.
type Limits struct {
	// AtOnce is the most attempts that run at the same time.
	AtOnce int
	// SecondAttempts is the share of a step's samples that may have a second
	// attempt.
	SecondAttempts float64
	// RunAhead is by how many steps a step may be begun before the oldest
	// open one is finished.
	RunAhead uint64
}

// An attempt is late when it takes lateFactor times as long for its tokens as
// the step's median, and lateTokens more. Comparing the time per token keeps
// the budget for streams that are slow, not for those that are merely long.
const (
	lateFactor = 1.5
	lateTokens = 16
	// attemptsBeside is how many attempts may be made beside the first one. A
	// second one may be slow as well: of 128 samples with one slow stream in
	// twenty, every third step has such a sample.
	attemptsBeside = 2
)

// retryPause is how long a failed sample waits for its next attempt.
const retryPause = 200 * time.Millisecond

// Next returns the next attempt to make, if there is one. The oldest open step
// goes first: what was not begun, then second attempts of the last samples of
// a group. Only then is a later step worked ahead; a slow stream of the step
// that the trainer waits for would otherwise stand back behind it.
func (s *Session) Next(l Limits, now timer.Instant) (Work, bool) {
	if s.running >= l.AtOnce {
		return Work{}, false
	}
	oldest, found := uint64(0), false
	for _, st := range s.order {
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
			return s.begin(it, lead, now), true
		}
		if it := st.late(l, now); it != nil {
			st.status.SecondAttempts++
			return s.begin(it, lead, now), true
		}
	}
	return Work{}, false
}

// Progress notes how many tokens the furthest attempt at a sample has.
func (s *Session) Progress(key sample.Key, tokens int, now timer.Instant) {
	it, ok := s.find(key)
	if !ok || tokens <= it.tokens {
		return
	}
	if it.tokens == 0 {
		it.first = now
	}
	it.tokens = tokens
}

// nextPending returns the pending item to begin. Within one length, groups
// with the fewest samples left come first, so that groups become whole early.
func (st *step) nextPending(now timer.Instant) *item {
	var best *item
	for _, it := range st.order {
		if it.state != pending || now < it.waits {
			continue
		}
		if best == nil {
			best = it
			continue
		}
		if it.group.MaxTokens < best.group.MaxTokens {
			break
		}
		if st.remaining[it.key.Group] < st.remaining[best.key.Group] {
			best = it
		}
	}
	return best
}

// late returns the running item that is slowest against the step's median,
// while the budget lasts.
func (st *step) late(l Limits, now timer.Instant) *item {
	budget := int(l.SecondAttempts*float64(st.status.Samples) + 0.999)
	if st.status.SecondAttempts >= budget {
		return nil
	}
	median, ok := st.median()
	if !ok {
		return nil
	}
	var best *item
	worst := lateFactor
	for _, it := range st.order {
		if it.state != running || it.attempts > attemptsBeside || it.justBegun(median, now) {
			continue
		}
		if by := it.lateness(median, now); by > worst {
			best, worst = it, by
		}
	}
	return best
}

// justBegun reports whether the last attempt had no time yet to show its pace.
func (it *item) justBegun(median time.Duration, now timer.Instant) bool {
	return float64(now.Sub(it.begun)) < lateFactor*float64(median)*lateTokens
}

// lateness is the time that an item took against what the median would have
// taken. One without a token may still wait for a slot, which a second attempt
// would only do again; it is late when it could have been finished by now.
func (it *item) lateness(median time.Duration, now timer.Instant) float64 {
	from, tokens := it.first, it.tokens+lateTokens
	if it.tokens == 0 {
		from, tokens = it.started, it.group.MaxTokens+lateTokens
	}
	due := median * time.Duration(tokens)
	return float64(now.Sub(from)) / float64(max(1, due))
}

func (s *Session) begin(it *item, lead uint64, now timer.Instant) Work {
	second := it.state == running
	if !second {
		it.started = now
		it.attempts = 0
		it.tokens = 0
	}
	it.state = running
	it.begun = now
	it.attempts++
	s.running++
	return Work{
		Key:        it.key,
		Deployment: it.step.spec.Deployment,
		Prompt:     it.group.Prompt,
		MaxTokens:  it.group.MaxTokens,
		Attempt:    it.attempts,
		Second:     second,
		Lead:       lead,
	}
}

// Busy reports whether anything waits to be begun. A session whose last
// samples run needs no more room, and others may take it.
func (s *Session) Busy() bool {
	for _, st := range s.order {
		if st.open() && st.pendingItems() {
			return true
		}
	}
	return false
}

func (st *step) pendingItems() bool {
	return slices.ContainsFunc(st.order, func(it *item) bool { return it.state == pending })
}

// Wanted reports whether a result for key would still be taken. Attempts poll
// it, so that work for a dropped step or a beaten attempt ends soon.
func (s *Session) Wanted(key sample.Key) bool {
	it, ok := s.find(key)
	return ok && it.state == running
}

// Finish takes the result of an attempt. It reports whether it is the first
// one; a later one is thrown away.
func (s *Session) Finish(key sample.Key, k Kept, now timer.Instant) bool {
	s.running--
	it, ok := s.find(key)
	if !ok || it.state != running {
		return false
	}
	it.step.paces = append(it.step.paces, now.Sub(it.started)/time.Duration(max(1, k.Tokens)))
	s.makeReady(it, k)
	return true
}

// Fail takes that an attempt brought no result. The sample is tried again
// unless another attempt still runs.
func (s *Session) Fail(key sample.Key, now timer.Instant) {
	s.running--
	it, ok := s.find(key)
	if !ok || it.state != running {
		return
	}
	it.attempts--
	if it.attempts == 0 {
		it.state = pending
		it.waits = now.Add(retryPause)
	}
}

// Return takes back work that could not be begun, because there was no room.
func (s *Session) Return(w Work) {
	s.running--
	it, ok := s.find(w.Key)
	if !ok || it.state != running {
		return
	}
	it.attempts--
	if w.Second {
		it.step.status.SecondAttempts--
		return
	}
	it.state = pending
}

// Recover takes a finished sample that another instance kept. It reports
// whether it was missing.
func (s *Session) Recover(key sample.Key, k Kept) bool {
	it, ok := s.find(key)
	if !ok || it.state != pending {
		return false
	}
	it.step.status.Recovered++
	s.makeReady(it, k)
	return true
}

func (s *Session) makeReady(it *item, k Kept) {
	it.state = ready
	it.finished = k
	s.ready = append(s.ready, it)
}

func (s *Session) find(key sample.Key) (*item, bool) {
	st, ok := s.steps[key.Step]
	if !ok {
		return nil, false
	}
	it, ok := st.items[key]
	return it, ok
}

func quickMedian(list []time.Duration) time.Duration {
	sorted := slices.Clone(list)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}
