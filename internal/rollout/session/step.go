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
	Running  State = "running"
	Finished State = "finished"
	Dropped  State = "dropped"
)

// Status is what a trainer is told of a step.
type Status struct {
	Step    uint64 `json:"step"`
	State   State  `json:"state"`
	Samples int    `json:"samples"`
	// Taken are the samples that the trainer has.
	Taken int `json:"taken"`
	// Discarded are finished samples that were too old to be handed over.
	Discarded      int `json:"discarded"`
	SecondAttempts int `json:"second_attempts"`
	// Recovered are samples found at other instances after a session ended.
	Recovered int `json:"recovered"`
}

// itemState is where an item is on its way to the trainer.
type itemState uint8

const (
	pending itemState = iota
	running
	ready
	handed
	taken
	abandoned
)

// item is one sample that is to be made.
type item struct {
	key      sample.Key
	group    *Group
	step     *step
	state    itemState
	attempts int
	// started is when the first attempt began, begun when the last one did.
	started timer.Instant
	begun   timer.Instant
	// tokens and first are the furthest attempt's count and its first moment.
	tokens int
	first  timer.Instant
	// waits is when a failed item may be tried again.
	waits    timer.Instant
	finished Kept
}

// Kept is a finished sample with its bytes and age.
type Kept struct {
	Raw    json.RawMessage
	Oldest version.Version
	Tokens int
	// Begun is when its first token came, on this instance's clock.
	Begun timer.Instant
}

// step is a submitted step.
type step struct {
	spec      Spec
	status    Status
	items     map[sample.Key]*item
	order     []*item
	remaining map[string]int
	dropAt    timer.Instant
	paces     []time.Duration
}

func (st *step) open() bool { return st.status.State == Running }

// overdue reports whether the step's drop time has passed.
func (st *step) overdue(now timer.Instant) bool { return st.dropAt != 0 && now >= st.dropAt }

// drop abandons all that was not handed over. What is in the trainer's hands
// or on the way there stays.
func (st *step) drop() {
	st.status.State = Dropped
	for _, it := range st.order {
		if it.state != taken && it.state != handed {
			it.state = abandoned
		}
	}
}

// settle closes the step when the trainer has everything.
func (st *step) settle() {
	if st.open() && st.status.Taken == st.status.Samples {
		st.status.State = Finished
	}
}

// median returns the median time per token of the step's finished samples.
func (st *step) median() (time.Duration, bool) {
	if len(st.paces) < 3 {
		return 0, false
	}
	return quickMedian(st.paces), true
}
