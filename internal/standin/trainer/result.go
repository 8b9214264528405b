package trainer

import (
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/egretbend/egretbend/internal/fleet/version"
	"github.com/egretbend/egretbend/internal/rollout/sample"
	"github.com/egretbend/egretbend/internal/rollout/session"
	"github.com/egretbend/egretbend/internal/standin/engine"
)

// Result is what a trainer saw.
type Result struct {
	Name           string `json:"name"`
	StepsFinished  int    `json:"steps_finished"`
	StepsDropped   int    `json:"steps_dropped"`
	Samples        int    `json:"samples"`
	Doubled        int    `json:"doubled"`
	TooOld         int    `json:"too_old"`
	WrongVersion   int    `json:"wrong_version"`
	Foreign        int    `json:"foreign"`
	Withdrawn      int    `json:"withdrawn"`
	Discarded      int    `json:"discarded"`
	SecondAttempts int    `json:"second_attempts"`
	Recovered      int    `json:"recovered"`
	Sessions       int    `json:"sessions"`
	// Versions is how many different versions made the samples.
	Versions int `json:"versions"`
	// IdleShare is the share of time in which the trainer waited for samples,
	// from its second step on.
	IdleShare      float64  `json:"idle_share"`
	StalenessP50   uint64   `json:"staleness_p50"`
	StalenessP99   uint64   `json:"staleness_p99"`
	StalenessMax   uint64   `json:"staleness_max"`
	StepSecondsP50 float64  `json:"step_seconds_p50"`
	StepSecondsMax float64  `json:"step_seconds_max"`
	Faults         []string `json:"faults,omitempty"`
	ages           []uint64
	steps          []float64
	seen           map[version.Version]bool
	idle, busy     time.Duration
}

// Wrong returns how many samples broke a promise.
func (r *Result) Wrong() int { return r.Doubled + r.TooOld + r.WrongVersion + r.Foreign }

const faultsKept = 5

func (r *Result) fault(format string, args ...any) {
	if len(r.Faults) < faultsKept {
		r.Faults = append(r.Faults, fmt.Sprintf(format, args...))
	}
}

// check holds a sample against the truth in its text.
func (r *Result) check(raw json.RawMessage, spec session.Spec, bound uint64, newest version.Version) (sample.Key, bool) {
	var s sample.Sample
	if err := json.Unmarshal(raw, &s); err != nil {
		r.Foreign++
		r.fault("a sample is not whole: %v", err)
		return sample.Key{}, false
	}
	r.Samples++
	r.checkText(&s, spec)
	age := s.Oldest().Behind(newest)
	if age > bound {
		r.TooOld++
		r.fault("sample %v is %d versions old", s.Key, age)
	}
	r.ages = append(r.ages, age)
	r.noteVersions(s.Versions)
	return s.Key, true
}

func (r *Result) checkText(s *sample.Sample, spec session.Spec) {
	want := ""
	tokens := 0
	for _, g := range spec.Groups {
		if g.Group == s.Group && s.Index < g.Samples {
			want, tokens = g.Prompt, g.MaxTokens
		}
	}
	truth, err := engine.Truth(want, xxhash.Sum64String(s.Key.String()), s.Text)
	if want == "" || err != nil || len(truth) != tokens || s.Tokens != tokens {
		r.Foreign++
		r.fault("sample %v is not its own: %d of %d tokens, %v", s.Key, len(truth), tokens, err)
		return
	}
	if !recordTrue(s.Versions, truth) {
		r.WrongVersion++
		r.fault("sample %v: record %v is not what its text says", s.Key, s.Versions)
	}
}

// recordTrue reports whether spans name exactly the versions in truth.
func recordTrue(spans []sample.Span, truth []version.Version) bool {
	next := 0
	for _, span := range spans {
		if span.FirstToken != next || span.LastToken < span.FirstToken || span.LastToken >= len(truth) {
			return false
		}
		for ; next <= span.LastToken; next++ {
			if truth[next] != span.Version {
				return false
			}
		}
	}
	return next == len(truth)
}

func (r *Result) noteVersions(spans []sample.Span) {
	if r.seen == nil {
		r.seen = make(map[version.Version]bool)
	}
	for _, span := range spans {
		r.seen[span.Version] = true
	}
	r.Versions = len(r.seen)
}

// close works out the shares and percentiles.
func (r *Result) close() {
	if total := r.idle + r.busy; total > 0 {
		r.IdleShare = float64(r.idle) / float64(total)
	}
	sort.Slice(r.ages, func(i, j int) bool { return r.ages[i] < r.ages[j] })
	if n := len(r.ages); n > 0 {
		r.StalenessP50 = r.ages[n/2]
		r.StalenessP99 = r.ages[n*99/100]
		r.StalenessMax = r.ages[n-1]
	}
	sort.Float64s(r.steps)
	if n := len(r.steps); n > 0 {
		r.StepSecondsP50 = r.steps[n/2]
		r.StepSecondsMax = r.steps[n-1]
	}
}
