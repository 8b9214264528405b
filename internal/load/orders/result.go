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
	maxLatencyMicros = 600_000_000
	significantDigits        = 3
	maxFaults    = 5
)

// resultRecorder collects results of concurrent requests.
type resultRecorder struct {
	mu       sync.Mutex
	result   Result
	answerLatency *hdrhistogram.Histogram
	refusalLatency  *hdrhistogram.Histogram
	totalAttempts int
	outcomes  map[string]outcome
}

// outcome is what the caller of an order was told.
type outcome int

const (
	outcomeAnswered outcome = iota
	outcomeRefused
	outcomeUnknown
)

func newResultRecorder(caller string) *resultRecorder {
	return &resultRecorder{
		result: Result{
			Caller: caller,
		},
		answerLatency: hdrhistogram.New(1, maxLatencyMicros, significantDigits),
		refusalLatency:  hdrhistogram.New(1, maxLatencyMicros, significantDigits),
		outcomes:  make(map[string]outcome),
	}
}

func (t *resultRecorder) recordAnswer(id string, took time.Duration, attempts, second int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.result.Answered++
	t.totalAttempts += attempts
	t.outcomes[id] = outcomeAnswered
	_ = t.answerLatency.RecordValue(took.Microseconds())
	for len(t.result.PerSecond) <= second {
		t.result.PerSecond = append(t.result.PerSecond, 0)
	}
	t.result.PerSecond[second]++
}

func (t *resultRecorder) recordFailure(id string, o outcome, took time.Duration, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outcomes[id] = o
	if err == errNoInstanceReached {
		t.result.NoAnswer++
	}
	if o == outcomeRefused {
		t.result.Refused++
		_ = t.refusalLatency.RecordValue(took.Microseconds())
		return
	}
	t.result.Unknown++
	t.addFault(err)
}

func (t *resultRecorder) recordMismatch(id string, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outcomes[id] = outcomeAnswered
	t.result.MixedUp++
	t.addFault(err)
}

func (t *resultRecorder) addFault(err error) {
	if len(t.result.Faults) < maxFaults {
		t.result.Faults = append(t.result.Faults, fmt.Sprint(err))
	}
}

func (t *resultRecorder) finish() Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.result
	if r.Answered > 0 {
		r.Attempts = float64(t.totalAttempts) / float64(r.Answered)
	}
	r.P50MS = float64(t.answerLatency.ValueAtQuantile(50)) / 1000
	r.P99MS = float64(t.answerLatency.ValueAtQuantile(99)) / 1000
	r.P999MS = float64(t.answerLatency.ValueAtQuantile(99.9)) / 1000
	r.RefuseP99 = float64(t.refusalLatency.ValueAtQuantile(99)) / 1000
	return r
}
