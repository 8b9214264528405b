package steptime

import (
	"slices"
	"sort"
	"time"
)

// Step is the account of one step of a trainer. Durations are in milliseconds.
type Step struct {
	Batch     string    `json:"batch"`
	Model     string    `json:"model"`
	Step      int       `json:"step"`
	Items     int       `json:"items"`
	Submitted time.Time `json:"asked"`
	// Owners is the number of times that an instance accepted the step or took it over.
	Owners int `json:"owners"`
	// Critical is the item that ended the step, Events the number of its events.
	Critical string `json:"critical"`
	Events   int    `json:"events"`
	Attempts int    `json:"attempts"`
	// Took is the time from the submission to the end, Bound its lower bound, and Ratio
	// the quotient Took / Bound.
	Took  int64   `json:"took_ms"`
	Bound int64   `json:"bound_ms"`
	Ratio float64 `json:"ratio"`
	// Spent divides Took among the causes.
	Spent map[Cause]int64 `json:"spent_ms"`
}

// IncompleteStep is a step without a full account: it did not end, or a log line about it
// is missing.
type IncompleteStep struct {
	Batch     string    `json:"batch"`
	Model     string    `json:"model"`
	Step      int       `json:"step"`
	Submitted time.Time `json:"asked"`
	// Reason says what is missing.
	Reason string `json:"reason"`
}

// Report is the account of all steps in the logs that were read.
type Report struct {
	Steps           []Step           `json:"steps"`
	IncompleteSteps []IncompleteStep `json:"unknown"`
	// Sums has for each cause the total time of all steps.
	Sums     map[Cause]int64 `json:"sums_ms"`
	BadLines []BadLine       `json:"faults"`
}

// Report returns the account of the lines read so far, or ErrNoSteps.
func (l *Log) Report() (*Report, error) {
	if len(l.begins) == 0 {
		return nil, ErrNoSteps
	}
	report := &Report{
		Sums:     make(map[Cause]int64),
		BadLines: l.badLines,
	}
	paces := l.paces()
	for batch, begins := range l.begins {
		slices.SortFunc(begins, func(a, b beginRecord) int { return a.at.Compare(b.at) })
		step, reason := l.newStep(batch, begins, paces)
		if reason != "" {
			report.IncompleteSteps = append(report.IncompleteSteps, IncompleteStep{
				Batch:     batch,
				Model:     step.Model,
				Step:      step.Step,
				Submitted: step.Submitted,
				Reason:    reason,
			})
			continue
		}
		report.Steps = append(report.Steps, step)
		for cause, spent := range step.Spent {
			report.Sums[cause] += spent
		}
	}
	sort.Slice(report.Steps, func(i, j int) bool { return report.Steps[i].Submitted.Before(report.Steps[j].Submitted) })
	sort.Slice(report.IncompleteSteps, func(i, j int) bool {
		return report.IncompleteSteps[i].Submitted.Before(report.IncompleteSteps[j].Submitted)
	})
	return report, nil
}

// newStep returns the account of a step, or the reason why there is none.
func (l *Log) newStep(batch string, begins []beginRecord, paces map[string]time.Duration) (Step, string) {
	first := begins[0]
	s := Step{
		Batch:     batch,
		Model:     first.model,
		Step:      first.step,
		Items:     first.items,
		Submitted: first.submitted(),
		Owners:    len(begins),
	}
	e, ok := l.ends[batch]
	if !ok {
		return s, "no end"
	}
	if e.whole == 0 {
		return s, "ended before its groups were whole"
	}
	critical, ok := l.items[itemKey{
		batch: batch,
		item:  e.critical,
	}]
	if !ok {
		return s, "no line of its critical item"
	}
	pace := paces[first.model]
	generating := time.Duration(critical.events) * pace
	restored := time.Duration(critical.restored) * pace
	regenerating := time.Duration(critical.regenerated) * pace
	spent := map[Cause]time.Duration{
		Acceptance:   first.age,
		Owners:       e.ownerBegan().Sub(first.at) - restored,
		Waiting:      critical.waited,
		Generating:   generating,
		Slowness:     critical.ran - critical.stalled - regenerating - (generating - restored),
		Stalled:      critical.stalled,
		Regenerating: regenerating,
		Scoring:      critical.scored,
		Listing:      e.readable - e.whole,
		Reading:      e.age - e.readable,
	}
	s.Critical = e.critical
	s.Events = critical.events
	s.Attempts = critical.attempts
	s.Took = e.at.Sub(s.Submitted).Milliseconds()
	s.Bound = generating.Milliseconds()
	s.Spent = make(map[Cause]int64, len(spent))
	for cause, d := range spent {
		s.Spent[cause] = d.Milliseconds()
	}
	if generating > 0 {
		s.Ratio = float64(s.Took) / float64(s.Bound)
	}
	return s, ""
}

// minPaceEvents is the number of events that an owner must have generated of an item for
// the item's pace to count.
const minPaceEvents = 20

// paces returns for each model the time per event at a lightly loaded engine. It is the
// pace that a tenth of the items with one attempt were faster than.
func (l *Log) paces() map[string]time.Duration {
	models := make(map[string][]time.Duration)
	for key, i := range l.items {
		generated := i.events - i.restored
		if generated < minPaceEvents || i.attempts != 1 || len(l.begins[key.batch]) == 0 {
			continue
		}
		model := l.begins[key.batch][0].model
		models[model] = append(models[model], (i.ran-i.stalled)/time.Duration(generated))
	}
	paces := make(map[string]time.Duration, len(models))
	for model, list := range models {
		slices.Sort(list)
		paces[model] = list[len(list)/10]
	}
	return paces
}
