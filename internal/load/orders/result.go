package orders

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what the callers saw.
type Result struct {
	Caller   string `json:"caller"`
	Sent     int    `json:"sent"`
	Answered int    `json:"answered"`
	// Refused were told that they were not run.
	Refused int `json:"refused"`
	// Unknown were told that they may have been run.
	Unknown int `json:"unknown"`
	// MixedUp got an answer that is not theirs or not whole.
	MixedUp int `json:"mixed_up"`
	// NoAnswer found no instance that answered, at any address it was told.
	NoAnswer  int     `json:"no_answer"`
	Attempts  float64 `json:"attempts_per_answer"`
	P50MS     float64 `json:"p50_ms"`
	P99MS     float64 `json:"p99_ms"`
	P999MS    float64 `json:"p999_ms"`
	RefuseP99 float64 `json:"refuse_p99_ms"`
	// PerSecond holds the answers in each second of the run.
	PerSecond []int    `json:"per_second,omitempty"`
	Faults    []string `json:"faults,omitempty"`
}

const (
	highestMicros = 600_000_000
	digits        = 3
	faultsKept    = 5
)

// tally collects results of concurrent requests.
type tally struct {
	mu       sync.Mutex
	result   Result
	answered *hdrhistogram.Histogram
	refused  *hdrhistogram.Histogram
	attempts int
	outcome  map[string]outcome
}

// outcome is what the caller of an order was told.
type outcome int

const (
	answered outcome = iota
	refused
	unknown
)

func newTally(caller string) *tally {
	return &tally{
		result: Result{
			Caller: caller,
		},
		answered: hdrhistogram.New(1, highestMicros, digits),
		refused:  hdrhistogram.New(1, highestMicros, digits),
		outcome:  make(map[string]outcome),
	}
}

func (t *tally) good(id string, took time.Duration, attempts, second int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.result.Answered++
	t.attempts += attempts
	t.outcome[id] = answered
	_ = t.answered.RecordValue(took.Microseconds())
	for len(t.result.PerSecond) <= second {
		t.result.PerSecond = append(t.result.PerSecond, 0)
	}
	t.result.PerSecond[second]++
}

func (t *tally) bad(id string, o outcome, took time.Duration, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outcome[id] = o
	if err == errUnreached {
		t.result.NoAnswer++
	}
	if o == refused {
		t.result.Refused++
		_ = t.refused.RecordValue(took.Microseconds())
		return
	}
	t.result.Unknown++
	t.fault(err)
}

func (t *tally) mixedUp(id string, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outcome[id] = answered
	t.result.MixedUp++
	t.fault(err)
}

func (t *tally) fault(err error) {
	if len(t.result.Faults) < faultsKept {
		t.result.Faults = append(t.result.Faults, fmt.Sprint(err))
	}
}

func (t *tally) close() Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.result
	if r.Answered > 0 {
		r.Attempts = float64(t.attempts) / float64(r.Answered)
	}
	r.P50MS = float64(t.answered.ValueAtQuantile(50)) / 1000
	r.P99MS = float64(t.answered.ValueAtQuantile(99)) / 1000
	r.P999MS = float64(t.answered.ValueAtQuantile(99.9)) / 1000
	r.RefuseP99 = float64(t.refused.ValueAtQuantile(99)) / 1000
	return r
}
