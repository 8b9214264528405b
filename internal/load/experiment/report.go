package experiment

import (
	"fmt"
	"io"

	"github.com/egretbend/egretbend/internal/load/loadgen"
	"github.com/egretbend/egretbend/internal/standin/keyvalue"
	"github.com/egretbend/egretbend/internal/standin/trainer"
)

// Report holds the results of one run: totals over all callers and trainers, and
// the result of each.
type Report struct {
	Scenario string `json:"scenario"`
	Variant  string `json:"variant,omitempty"`
	Seconds  int    `json:"seconds"`

	OrdersSent     int `json:"orders_sent"`
	Answered       int `json:"answered_whole"`
	Refused        int `json:"refused"`
	Unknown        int `json:"unknown"`
	WrongAnswers   int `json:"mixed_up"`
	NoAnswer       int `json:"no_answer"`
	OrdersRunTwice int `json:"orders_run_twice"`
	RefusedRan     int `json:"refused_ran"`
	AnsweredNotRun int `json:"answered_not_run"`

	StepsFinished       int     `json:"steps_finished"`
	StepsDropped        int     `json:"steps_dropped"`
	SamplesDelivered    int     `json:"samples_handed_over"`
	SamplesDuplicated   int     `json:"samples_doubled"`
	SamplesTooOld       int     `json:"samples_too_old"`
	SamplesWrongVersion int     `json:"samples_wrong_version"`
	SamplesUnexpected   int     `json:"samples_foreign"`
	TrainerIdleShare    float64 `json:"trainer_idle_share"`
	StalenessP50        uint64  `json:"staleness_p50_versions"`
	StalenessMax        uint64  `json:"staleness_max_versions"`

	// SwapP50 and SwapMax are the seconds between publishing a weight version
	// and the moment when every engine has it or a later one.
	SwapP50         float64 `json:"swap_seconds_p50"`
	SwapMax         float64 `json:"swap_seconds_max"`
	TokensGenerated int64   `json:"tokens_made"`
	CacheHitShare   float64 `json:"cache_hit_share"`
	KeyValueCalls   float64 `json:"key_value_calls_per_second"`
	KeyValueWrites  float64 `json:"key_value_writes_per_second"`

	ResourceUsage ResourceUsage    `json:"cost"`
	UncleanStops  []string         `json:"unclean_stops,omitempty"`
	Orders        []loadgen.Result `json:"orders"`
	Trainers      []trainer.Result `json:"trainers"`
}

// Violations returns a message for each kind of guarantee that the run violated,
// or nil.
func (r *Report) Violations() []string {
	var violations []string
	for _, check := range []struct {
		n    int
		what string
	}{
		{r.WrongAnswers, "answers for another request or incomplete"},
		{r.OrdersRunTwice, "non-idempotent orders run more than once"},
		{r.RefusedRan, "orders run although reported as not run"},
		{r.AnsweredNotRun, "orders answered but never run"},
		{r.SamplesDuplicated, "duplicate samples"},
		{r.SamplesTooOld, "samples too old"},
		{r.SamplesWrongVersion, "samples with a wrong version"},
		{r.SamplesUnexpected, "samples incomplete or not requested"},
		{len(r.UncleanStops), "instances that did not stop cleanly"},
	} {
		if check.n > 0 {
			violations = append(violations, fmt.Sprintf("%d %s", check.n, check.what))
		}
	}
	return violations
}

// addTrainer adds the result of one trainer. Shares and staleness figures of the
// report are the highest of all trainers.
func (r *Report) addTrainer(t trainer.Result) {
	r.Trainers = append(r.Trainers, t)
	r.StepsFinished += t.StepsFinished
	r.StepsDropped += t.StepsDropped
	r.SamplesDelivered += t.Samples
	r.SamplesDuplicated += t.Duplicates
	r.SamplesTooOld += t.TooOld
	r.SamplesWrongVersion += t.WrongVersion
	r.SamplesUnexpected += t.Foreign
	r.TrainerIdleShare = max(r.TrainerIdleShare, t.IdleShare)
	r.StalenessP50 = max(r.StalenessP50, t.StalenessP50)
	r.StalenessMax = max(r.StalenessMax, t.StalenessMax)
}

// addOrders adds the result of one request stream, and how it compares with the
// runs that the services recorded.
func (r *Report) addOrders(o loadgen.Result, d loadgen.Discrepancies) {
	r.Orders = append(r.Orders, o)
	r.OrdersSent += o.Sent
	r.Answered += o.Answered
	r.Refused += o.Refused
	r.Unknown += o.Unknown
	r.WrongAnswers += o.WrongAnswers
	r.NoAnswer += o.Unreached
	r.OrdersRunTwice += d.RunTwice
	r.RefusedRan += d.RefusedRan
	r.AnsweredNotRun += d.AnsweredNotRun
}

// addKeyValue sets the rates of key-value calls from the counters before and
// after the run.
func (r *Report) addKeyValue(before, after keyvalue.Stats) {
	seconds := float64(r.Seconds)
	r.KeyValueCalls = float64(after.Calls-before.Calls) / seconds
	r.KeyValueWrites = float64(after.Writes-before.Writes) / seconds
}

// Print writes the report as human-readable text.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "%s %s (%d s)\n", r.Scenario, r.Variant, r.Seconds)
	for _, o := range r.Orders {
		fmt.Fprintf(w, "  %-24s sent %d answered %d refused %d unknown %d  p50 %.1f ms p99 %.1f ms p99.9 %.1f ms\n",
			o.Caller, o.Sent, o.Answered, o.Refused, o.Unknown, o.P50MS, o.P99MS, o.P999MS)
		for _, e := range o.Errors {
			fmt.Fprintf(w, "    %s\n", e)
		}
	}
	for _, t := range r.Trainers {
		fmt.Fprintf(w, "  trainer %s: %d steps, %d dropped, %d samples, idle %.1f%%, staleness p50 %d p99 %d max %d, step p50 %.2f s max %.2f s\n",
			t.Name, t.StepsFinished, t.StepsDropped, t.Samples, 100*t.IdleShare, t.StalenessP50, t.StalenessP99, t.StalenessMax, t.StepSecondsP50, t.StepSecondsMax)
		fmt.Fprintf(w, "           sessions %d, recovered %d, discarded %d, second attempts %d\n",
			t.Sessions, t.Recovered, t.Discarded, t.SecondAttempts)
		for _, f := range t.Faults {
			fmt.Fprintf(w, "    %s\n", f)
		}
	}
	fmt.Fprintf(w, "  weight version on all engines after p50 %.2f s max %.2f s\n", r.SwapP50, r.SwapMax)
	fmt.Fprintf(w, "  tokens generated %d, cache hits %.0f%%, key-value calls %.1f/s writes %.1f/s\n",
		r.TokensGenerated, 100*r.CacheHitShare, r.KeyValueCalls, r.KeyValueWrites)
	fmt.Fprintf(w, "  per instance: cpu %.2f%% (max %.2f%%) resident %.1f MB (max %.1f) heap %.1f MB peer traffic %.1f kB/s (max %.1f)\n",
		100*r.ResourceUsage.CPUShare, 100*r.ResourceUsage.CPUShareMax, r.ResourceUsage.ResidentMB, r.ResourceUsage.ResidentMaxMB, r.ResourceUsage.HeapMB,
		r.ResourceUsage.PeerBytesPerSecond/1000, r.ResourceUsage.PeerBytesPerSecondMax/1000)
	for _, violation := range r.Violations() {
		fmt.Fprintf(w, "  WRONG: %s\n", violation)
	}
}
