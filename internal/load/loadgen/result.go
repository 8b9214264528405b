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
	// answer, at most maxErrors.
	Errors []string `json:"faults,omitempty"`
}

// Resolution of the latency histograms, and the limit of Result.Errors.
const (
	maxLatencyMicros  = 600_000_000
	significantDigits = 3
	maxErrors         = 5
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
func (r *resultRecorder) recordAnswer(id string, took time.Duration, attempts, second int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Answered++
	r.totalAttempts += attempts
	r.outcomes[id] = outcomeAnswered
	_ = r.answerLatency.RecordValue(took.Microseconds())
	for len(r.result.PerSecond) <= second {
		r.result.PerSecond = append(r.result.PerSecond, 0)
	}
	r.result.PerSecond[second]++
}

// recordFailure records an error. Only refusals count in the refusal latencies.
func (r *resultRecorder) recordFailure(id string, o outcome, took time.Duration, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes[id] = o
	if err == errNoInstanceReached {
		r.result.Unreached++
	}
	if o == outcomeRefused {
		r.result.Refused++
		_ = r.refusalLatency.RecordValue(took.Microseconds())
		return
	}
	r.result.Unknown++
	r.addError(err)
}

// recordMismatch records an answer that doesn't match its request. The request
// counts as answered when it is compared with the recorded runs.
func (r *resultRecorder) recordMismatch(id string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes[id] = outcomeAnswered
	r.result.WrongAnswers++
	r.addError(err)
}

// addError keeps the text of err, unless there are maxErrors texts already.
func (r *resultRecorder) addError(err error) {
	if len(r.result.Errors) < maxErrors {
		r.result.Errors = append(r.result.Errors, fmt.Sprint(err))
	}
}

// finish returns the result with its percentiles.
func (r *resultRecorder) finish() Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	result := r.result
	if result.Answered > 0 {
		result.AttemptsPerAnswer = float64(r.totalAttempts) / float64(result.Answered)
	}
	result.P50MS = float64(r.answerLatency.ValueAtQuantile(50)) / 1000
	result.P99MS = float64(r.answerLatency.ValueAtQuantile(99)) / 1000
	result.P999MS = float64(r.answerLatency.ValueAtQuantile(99.9)) / 1000
	result.RefuseP99MS = float64(r.refusalLatency.ValueAtQuantile(99)) / 1000
	return result
}
