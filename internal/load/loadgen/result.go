package loadgen

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result holds what the callers of one stream observed.
type Result struct {
	Caller   string `json:"caller"`
	Sent     int    `json:"sent"`
	Answered int    `json:"answered"`
	// Refused counts requests whose error says that they were not run.
	Refused int `json:"refused"`
	// Unknown counts requests whose error says that they may have been run.
	Unknown int `json:"unknown"`
	// WrongAnswers counts requests with an answer that belongs to another request
	// or is incomplete.
	WrongAnswers int `json:"mixed_up"`
	// Unreached counts requests that no instance at a known address took or
	// answered.
	Unreached         int     `json:"no_answer"`
	AttemptsPerAnswer float64 `json:"attempts_per_answer"`
	P50MS             float64 `json:"p50_ms"`
	P99MS             float64 `json:"p99_ms"`
	P999MS            float64 `json:"p999_ms"`
	RefuseP99MS       float64 `json:"refuse_p99_ms"`
	// PerSecond holds the number of answers in each second of the run.
	PerSecond []int `json:"per_second,omitempty"`
	// Errors holds the first errors of requests with an unknown outcome or a wrong
	// answer, at most maxFaults.
	Errors []string `json:"faults,omitempty"`
}

// Resolution of the latency histograms, and the limit of Result.Errors.
const (
	maxLatencyMicros  = 600_000_000
	significantDigits = 3
	maxFaults         = 5
)

// resultRecorder collects the results of concurrent requests.
type resultRecorder struct {
	mu             sync.Mutex
	result         Result
	answerLatency  *hdrhistogram.Histogram
	refusalLatency *hdrhistogram.Histogram
	totalAttempts  int
	outcomes       map[string]outcome
}

// outcome is what the answer to a request says about its execution.
type outcome int

const (
	outcomeAnswered outcome = iota
	outcomeRefused
	outcomeUnknown
)

// newResultRecorder returns an empty recorder for the requests of caller.
func newResultRecorder(caller string) *resultRecorder {
	return &resultRecorder{
		result: Result{
			Caller: caller,
		},
		answerLatency:  hdrhistogram.New(1, maxLatencyMicros, significantDigits),
		refusalLatency: hdrhistogram.New(1, maxLatencyMicros, significantDigits),
		outcomes:       make(map[string]outcome),
	}
}

// recordAnswer records a correct answer that came in the given second of the run.
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

// recordFailure records an error. Only refusals count in the refusal latencies.
func (t *resultRecorder) recordFailure(id string, o outcome, took time.Duration, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outcomes[id] = o
	if err == errNoInstanceReached {
		t.result.Unreached++
	}
	if o == outcomeRefused {
		t.result.Refused++
		_ = t.refusalLatency.RecordValue(took.Microseconds())
		return
	}
	t.result.Unknown++
	t.addFault(err)
}

// recordMismatch records an answer that doesn't match its request. The request
// counts as answered when it is compared with the recorded runs.
func (t *resultRecorder) recordMismatch(id string, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outcomes[id] = outcomeAnswered
	t.result.WrongAnswers++
	t.addFault(err)
}

// addFault keeps the text of err, unless there are maxFaults texts already.
func (t *resultRecorder) addFault(err error) {
	if len(t.result.Errors) < maxFaults {
		t.result.Errors = append(t.result.Errors, fmt.Sprint(err))
	}
}

// finish returns the result with its percentiles.
func (t *resultRecorder) finish() Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.result
	if r.Answered > 0 {
		r.AttemptsPerAnswer = float64(t.totalAttempts) / float64(r.Answered)
	}
	r.P50MS = float64(t.answerLatency.ValueAtQuantile(50)) / 1000
	r.P99MS = float64(t.answerLatency.ValueAtQuantile(99)) / 1000
	r.P999MS = float64(t.answerLatency.ValueAtQuantile(99.9)) / 1000
	r.RefuseP99MS = float64(t.refusalLatency.ValueAtQuantile(99)) / 1000
	return r
}
