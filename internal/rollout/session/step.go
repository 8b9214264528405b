package session

import (
	"encoding/json"
	"time"

	"github.com/egretbend/egretbend/internal/fleet/version"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/rollout/sample"
)

// State is the state of a step.
type State string

// The states of a step.
const (
	// Running is an open step: it is neither finished nor dropped.
	Running State = "running"
	// Finished is a step of which the trainer has all samples.
	Finished State = "finished"
	// Dropped is a step that passed its drop time before it was finished.
	Dropped State = "dropped"
)

// Status is the status of a step as reported to the trainer. Except for Step and
// State, its fields are counts.
type Status struct {
	Step    uint64 `json:"step"`
	State   State  `json:"state"`
	Samples int    `json:"samples"`
	// Acknowledged counts the samples that the trainer has.
	Acknowledged int `json:"taken"`
	// Discarded counts finished samples that were too old to be delivered.
	Discarded      int `json:"discarded"`
	SecondAttempts int `json:"second_attempts"`
	// Recovered counts samples of an earlier session that were recovered from
	// copies on other instances.
	Recovered int `json:"recovered"`
}

// itemState is the state of an item between submission and acknowledgement.
type itemState uint8

const (
	// pending items wait for an attempt.
	pending itemState = iota
	// running items have at least one running attempt.
	running
	// ready items are finished but in no batch yet.
	ready
	// delivered items are in the batch that is not acknowledged yet.
	delivered
	// acknowledged items are known to be with the trainer.
	acknowledged
	// abandoned items are not generated or delivered any more.
	abandoned
)

// item is one sample of a step.
type item struct {
	key   sample.Key
	group *Group
	step  *step
	state itemState
	// attempts is the number of running attempts. It has a meaning only in
	// state running.
	attempts int
	// firstAttemptAt is when the first of the running attempts started, and
	// lastAttemptAt when the last one did.
	firstAttemptAt timer.Instant
	lastAttemptAt  timer.Instant
	// tokens is the largest number of tokens of any of the attempts, and
	// firstTokenAt when the first tokens were reported.
	tokens       int
	firstTokenAt timer.Instant
	// retryAt is when a failed item may be attempted again.
	retryAt timer.Instant
	result  FinishedSample
}

// FinishedSample is a finished sample in encoded form, with what determines its age.
type FinishedSample struct {
	// Raw is the JSON encoding of the sample.
	Raw json.RawMessage
	// Oldest is the oldest version that generated any of the tokens.
	Oldest version.Version
	// Tokens is the number of tokens.
	Tokens int
	// FirstTokenAt is when the first token arrived, on this instance's clock.
	FirstTokenAt timer.Instant
}

// step is a submitted step with the state of its samples.
type step struct {
	spec   Spec
	status Status
	items  map[sample.Key]*item
	// itemsByLength holds the same items in descending order of MaxTokens.
	itemsByLength []*item
	// remainingByGroup is the number of samples of each group that the trainer
	// does not have yet.
	remainingByGroup map[string]int
	// dropAt is when the step is dropped; zero means never.
	dropAt timer.Instant
	// tokenTimes holds the time per token of each accepted result.
	tokenTimes []time.Duration
}

// open reports whether the step is neither finished nor dropped.
func (st *step) open() bool { return st.status.State == Running }

// overdue reports whether the step's drop time has passed.
func (st *step) overdue(now timer.Instant) bool { return st.dropAt != 0 && now >= st.dropAt }

// drop closes the step and abandons all of its items except those that were
// delivered or acknowledged.
func (st *step) drop() {
	st.status.State = Dropped
	for _, it := range st.itemsByLength {
		if it.state != acknowledged && it.state != delivered {
			it.state = abandoned
		}
	}
}

// finishIfComplete closes the step if the trainer has all of its samples.
func (st *step) finishIfComplete() {
	if st.open() && st.status.Acknowledged == st.status.Samples {
		st.status.State = Finished
	}
}

// medianTokenTime returns the median time per token of the step's finished
// samples, or false if fewer than 3 were generated in this session.
func (st *step) medianTokenTime() (time.Duration, bool) {
	if len(st.tokenTimes) < 3 {
		return 0, false
	}
	return medianDuration(st.tokenTimes), true
}
