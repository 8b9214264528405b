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

// Result holds the counters and statistics of a trainer.
type Result struct {
	Name          string `json:"name"`
	StepsFinished int    `json:"steps_finished"`
	StepsDropped  int    `json:"steps_dropped"`
	Samples       int    `json:"samples"`
	// Duplicates is the number of samples received more than once.
	Duplicates int `json:"doubled"`
	// TooOld is the number of samples with a token that is staler than
	// Trainer.MaxStaleness.
	TooOld int `json:"too_old"`
	// WrongVersion is the number of samples whose recorded versions differ from
	// those in their text.
	WrongVersion int `json:"wrong_version"`
	// Foreign is the number of samples that can't be decoded, belong to no open
	// step, or have the wrong text or length.
	Foreign int `json:"foreign"`
	// Withdrawn is the number of entries that withdraw a sample.
	Withdrawn int `json:"withdrawn"`
	// Discarded, SecondAttempts and Recovered add up the fields of
	// session.Status of the steps that the trainer waited for.
	Discarded      int `json:"discarded"`
	SecondAttempts int `json:"second_attempts"`
	Recovered      int `json:"recovered"`
	// Sessions is the number of sessions that the trainer tried to open.
	Sessions int `json:"sessions"`
	// Versions is the number of distinct weight versions that generated the
	// samples.
	Versions int `json:"versions"`
	// IdleShare is the share of time that the trainer waited for samples, from
	// its second step on.
	IdleShare      float64 `json:"idle_share"`
	StalenessP50   uint64  `json:"staleness_p50"`
	StalenessP99   uint64  `json:"staleness_p99"`
	StalenessMax   uint64  `json:"staleness_max"`
	StepSecondsP50 float64 `json:"step_seconds_p50"`
	StepSecondsMax float64 `json:"step_seconds_max"`
	// Faults describes the first faulty samples.
	Faults []string `json:"faults,omitempty"`

	sampleStaleness []uint64
	stepSeconds     []float64
	versionsSeen    map[version.Version]bool
	idle, busy      time.Duration
}

// Violations returns the number of violated guarantees: samples that are
// duplicated, too old, foreign or have a wrong version.
func (r *Result) Violations() int { return r.Duplicates + r.TooOld + r.WrongVersion + r.Foreign }

// maxFaults is the number of descriptions that Result.Faults keeps.
const maxFaults = 5

// recordFault adds a description to r.Faults, unless there are maxFaults already.
func (r *Result) recordFault(format string, args ...any) {
	if len(r.Faults) < maxFaults {
		r.Faults = append(r.Faults, fmt.Sprintf(format, args...))
	}
}

// checkSample verifies a sample against the spec of its step and maxStaleness,
// and counts what is wrong with it. It returns the key of the sample, and false
// if the sample can't be decoded.
func (r *Result) checkSample(raw json.RawMessage, spec session.Spec, maxStaleness uint64, newest version.Version) (sample.Key, bool) {
	var s sample.Sample
	if err := json.Unmarshal(raw, &s); err != nil {
		r.Foreign++
		r.recordFault("decode sample: %v", err)
		return sample.Key{}, false
	}
	r.Samples++
	r.checkText(&s, spec)
	staleness := s.Oldest().Behind(newest)
	if staleness > maxStaleness {
		r.TooOld++
		r.recordFault("sample %v is %d versions old", s.Key, staleness)
	}
	r.sampleStaleness = append(r.sampleStaleness, staleness)
	r.addVersions(s.Versions)
	return s.Key, true
}

// checkText verifies that the text of a sample was generated for the prompt of its
// group, and that its recorded versions are those in the text.
func (r *Result) checkText(s *sample.Sample, spec session.Spec) {
	prompt := ""
	tokens := 0
	for _, g := range spec.Groups {
		if g.Group == s.Group && s.Index < g.Samples {
			prompt, tokens = g.Prompt, g.MaxTokens
		}
	}
	versions, err := engine.VerifyText(prompt, xxhash.Sum64String(s.Key.String()), s.Text)
	if prompt == "" || err != nil || len(versions) != tokens || s.Tokens != tokens {
		r.Foreign++
		r.recordFault("sample %v does not match its prompt: %d of %d tokens, error %v", s.Key, len(versions), tokens, err)
		return
	}
	if !spansMatch(s.Versions, versions) {
		r.WrongVersion++
		r.recordFault("sample %v: recorded versions %v differ from those in its text", s.Key, s.Versions)
	}
}

// spansMatch reports whether spans cover all tokens without a gap or overlap, and
// name the version of each token.
func spansMatch(spans []sample.Span, versions []version.Version) bool {
	next := 0
	for _, span := range spans {
		if span.FirstToken != next || span.LastToken < span.FirstToken || span.LastToken >= len(versions) {
			return false
		}
		for ; next <= span.LastToken; next++ {
			if versions[next] != span.Version {
				return false
			}
		}
	}
	return next == len(versions)
}

// addVersions counts the versions in spans that no earlier sample had.
func (r *Result) addVersions(spans []sample.Span) {
	if r.versionsSeen == nil {
		r.versionsSeen = make(map[version.Version]bool)
	}
	for _, span := range spans {
		r.versionsSeen[span.Version] = true
	}
	r.Versions = len(r.versionsSeen)
}

// summarize computes the shares and percentiles.
func (r *Result) summarize() {
	if total := r.idle + r.busy; total > 0 {
		r.IdleShare = float64(r.idle) / float64(total)
	}
	sort.Slice(r.sampleStaleness, func(i, j int) bool { return r.sampleStaleness[i] < r.sampleStaleness[j] })
	if n := len(r.sampleStaleness); n > 0 {
		r.StalenessP50 = r.sampleStaleness[n/2]
		r.StalenessP99 = r.sampleStaleness[n*99/100]
		r.StalenessMax = r.sampleStaleness[n-1]
	}
	sort.Float64s(r.stepSeconds)
	if n := len(r.stepSeconds); n > 0 {
		r.StepSecondsP50 = r.stepSeconds[n/2]
		r.StepSecondsMax = r.stepSeconds[n-1]
	}
}
