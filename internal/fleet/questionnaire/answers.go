package questionnaire

import (
	"fmt"

	"github.com/egretbend/egretbend/internal/fleet/configuration"
	"github.com/egretbend/egretbend/internal/kernel/setting"
)

// Format is the version of the answers format.
const Format = 1

// Answers holds a team's answers about its workloads.
type Answers struct {
	Format   int       `json:"format" need:"true" min:"1" max:"1" doc:"version of this format"`
	Title    string    `json:"title" need:"true" doc:"title of this questionnaire"`
	Team     string    `json:"team" need:"true" doc:"name of the team"`
	Services []Service `json:"services" doc:"plain services that callers use"`
	Models   []Model   `json:"models" doc:"models that are trained or served"`
	Callers  []Caller  `json:"callers" doc:"who sends requests"`
	// Organisations lists the customers whose requests must carry a key.
	Organisations []Organisation `json:"organisations" doc:"customers whose requests must bear a key; without any, nobody needs one"`
	// EntryInstances is the number of instances that the team runs.
	EntryInstances int `json:"entry_instances" default:"18" min:"1" max:"2000" doc:"how many entry instances there are"`
	// ReplaceSeconds is the time within which a leaving instance must be free to be
	// replaced.
	ReplaceSeconds int `json:"replace_seconds" default:"30" min:"2" max:"3600" doc:"within how many seconds a leaving instance must be done with callers who hold its address"`
}

// Service describes a plain service.
type Service struct {
	Name            string `json:"name" need:"true" doc:"name that callers use"`
	Group           string `json:"group" need:"true" doc:"group of its instances in the instance list"`
	AtOnce          int    `json:"at_once" default:"8" min:"1" max:"4096" doc:"requests that one instance of it serves at once"`
	LongestSeconds  int    `json:"longest_seconds" default:"5" min:"1" max:"3600" doc:"longest time that an answer may take, in seconds"`
	RepeatHarms     bool   `json:"repeat_harms" default:"true" doc:"whether it would do harm to run some of its requests twice"`
	EchoesAttempt   bool   `json:"echoes_attempt" default:"false" doc:"whether it answers with the Egretbend-Attempt header that it was sent"`
	LargestAnswerKB int64  `json:"largest_answer_kb" default:"1024" min:"1" max:"1048576" doc:"its largest answer, in kilobytes"`
	// AllowedRegions is nil if all regions are allowed; it is the same in the other answers.
	AllowedRegions []string `json:"allowed_regions,omitempty" doc:"regions in which its requests may be served and stored; none means all"`
}

// Model describes a model and its trainers.
type Model struct {
	Name           string `json:"name" need:"true" doc:"name that callers and trainers use"`
	Group          string `json:"group" need:"true" doc:"group of its engines in the instance list"`
	AtOnce         int    `json:"at_once" default:"8" min:"1" max:"4096" doc:"streams that one engine serves at once"`
	Engines        int    `json:"engines" default:"10" min:"1" max:"20000" doc:"how many engines there are"`
	ChecksOrders   bool   `json:"checks_orders" default:"false" doc:"whether its engines refuse an order with an old fencing number"`
	SharedPrompts  bool   `json:"shared_prompts" default:"true" doc:"whether many prompts begin alike"`
	LongestSeconds int    `json:"longest_seconds" default:"60" min:"1" max:"3600" doc:"longest time that one generation may take, in seconds"`
	// Precedence is the measure that takes precedence.
	Precedence       string    `json:"matters_more" default:"trainer_idle_time" oneof:"trainer_idle_time,staleness" doc:"what matters more where the two pull apart"`
	OldestVersions   uint64    `json:"oldest_versions" default:"4" min:"0" max:"1000000" doc:"how many versions old a sample may be when a trainer gets it"`
	OldestSeconds    int64     `json:"oldest_seconds" default:"0" min:"0" max:"86400" doc:"how many seconds old a sample may be when a trainer gets it; 0 sets no bound"`
	LateRounds       string    `json:"late_rounds" default:"wait" oneof:"wait,drop" doc:"whether a step that falls behind is waited for or dropped"`
	LateAfterSeconds int64     `json:"late_after_seconds" default:"0" min:"0" max:"86400" doc:"after how many seconds a step has fallen behind, if late steps are dropped"`
	SamplesPerStep   int       `json:"samples_per_step" default:"128" min:"1" max:"65536" doc:"samples in a step"`
	FetchesAtOnce    int       `json:"fetches_at_once" default:"4" min:"1" max:"10000" doc:"engines that may fetch from the weight store at the same time"`
	Trainers         []Trainer `json:"trainers" doc:"trainers that share its engines"`
	AllowedRegions   []string  `json:"allowed_regions,omitempty" doc:"regions in which its requests may be served and stored; none means all"`
}

// Trainer describes a trainer of a model.
type Trainer struct {
	Name  string  `json:"name" need:"true" doc:"name of the trainer"`
	Share float64 `json:"share" default:"1" min:"0.01" max:"1000" doc:"its share of the engines relative to the other trainers"`
}

// Caller describes a sender of requests.
type Caller struct {
	Name string `json:"name" need:"true" doc:"name that it sends with its requests"`
	// WhoWaits says who waits for its answers.
	WhoWaits string  `json:"who_waits" default:"a_person" oneof:"a_person,a_trainer,nobody" doc:"who waits for its answers"`
	Share    float64 `json:"share" default:"1" min:"0.01" max:"1000" doc:"its share relative to other callers when capacity is short"`
}

// Organisation describes a customer with keys.
type Organisation struct {
	Name       string   `json:"name" need:"true" doc:"name of the organisation"`
	KeyDigests []string `json:"key_digests" doc:"digests of its keys, as printed by egretbend digest"`
	// WhoWaits says who waits for its answers.
	WhoWaits       string   `json:"who_waits" default:"a_person" oneof:"a_person,a_trainer,nobody" doc:"who waits for its answers"`
	AllowedRegions []string `json:"allowed_regions,omitempty" doc:"regions in which its requests may be served and stored; none means all"`
}

// Validate implements setting.Validator. It rejects answers that contradict each other.
func (a *Answers) Validate(string) []setting.FieldError {
	var faults []setting.FieldError
	if len(a.Services)+len(a.Models) == 0 {
		faults = append(faults, setting.FieldError{
			Path:     "services",
			Expected: "at least one service or model",
			Got:      "none",
			Remedy:   "describe what is to be served",
		})
	}
	for i, s := range a.Services {
		faults = append(faults, configuration.CheckRegions(fmt.Sprintf("services[%d].allowed_regions", i), s.AllowedRegions)...)
	}
	for i, m := range a.Models {
		faults = append(faults, configuration.CheckRegions(fmt.Sprintf("models[%d].allowed_regions", i), m.AllowedRegions)...)
	}
	for i, o := range a.Organisations {
		faults = append(faults, configuration.CheckRegions(fmt.Sprintf("organisations[%d].allowed_regions", i), o.AllowedRegions)...)
	}
	for i := range a.Models {
		faults = append(faults, a.Models[i].check(fmt.Sprintf("models[%d]", i))...)
	}
	return faults
}

// check returns the contradictions in the answers about one model.
func (m *Model) check(path string) []setting.FieldError {
	var faults []setting.FieldError
	add := func(field, expected, got, remedy string) {
		faults = append(faults, setting.FieldError{
			Path:     path + "." + field,
			Expected: expected,
			Got:      got,
			Remedy:   remedy,
		})
	}
	if m.LateRounds == "drop" && m.LateAfterSeconds == 0 {
		add("late_after_seconds", "at least 1, as late steps are dropped", "0", "say after how many seconds, or set late_rounds to wait")
	}
	if m.LateRounds == "wait" && m.LateAfterSeconds > 0 {
		add("late_after_seconds", "0, as late steps are waited for", fmt.Sprint(m.LateAfterSeconds), "remove it, or set late_rounds to drop")
	}
	if m.LateRounds == "drop" && m.OldestSeconds > 0 && m.OldestSeconds > m.LateAfterSeconds {
		add("oldest_seconds", "at most late_after_seconds, as no sample lives longer than its step", fmt.Sprint(m.OldestSeconds), "lower it or raise late_after_seconds")
	}
	if m.Precedence == "staleness" && m.OldestVersions > maxStalenessVersions {
		add("oldest_versions", fmt.Sprintf("at most %d, as staleness matters more", maxStalenessVersions), fmt.Sprint(m.OldestVersions), "lower it, or set matters_more to trainer_idle_time")
	}
	if m.FetchesAtOnce > m.Engines {
		add("fetches_at_once", "at most the number of engines", fmt.Sprint(m.FetchesAtOnce), "lower it")
	}
	return faults
}

// maxStalenessVersions is the largest OldestVersions allowed if staleness takes
// precedence.
const maxStalenessVersions = 8
