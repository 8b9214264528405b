package engine

import "github.com/egretbend/egretbend/internal/fleet/version"

// Settings holds the properties of an engine.
type Settings struct {
	ID            string `json:"id"`
	Group         string `json:"group" need:"true"`
	FailureDomain string `json:"failure_domain"`
	// Slots is the number of streams that run at the same time.
	Slots int `json:"slots" default:"8" min:"1"`
	// Queue is the number of requests that may wait for a slot.
	Queue int `json:"queue" default:"8" min:"0"`
	// TokenMS is the time per token on an idle engine, in milliseconds.
	TokenMS float64 `json:"token_ms" default:"5" min:"0"`
	// PrefillMS is the time to read a prompt that is not in the cache, in
	// milliseconds.
	PrefillMS float64 `json:"prefill_ms" default:"20" min:"0"`
	// CacheEntries is the number of prompts that the prefix cache holds.
	CacheEntries int `json:"cache_entries" default:"16" min:"0"`
	// SwitchMS is how long a weight switch stalls all streams, in milliseconds.
	SwitchMS int64 `json:"switch_ms" default:"50" min:"0"`
	// ReportLagMS is the age of the load in reports, in milliseconds.
	ReportLagMS int64 `json:"report_lag_ms" default:"0" min:"0"`
	// ChecksFencing makes the engine refuse orders whose fencing token is lower than
	// that of an earlier order.
	ChecksFencing bool `json:"checks_fencing" default:"false"`
	// Weights is the address of the weight store; if empty, a fetch completes at
	// once.
	Weights string `json:"weights" default:""`
	// Initial is the weight version after a start or crash; the zero value means
	// epoch 1.
	Initial version.Version `json:"initial"`
	Seed    uint64          `json:"seed" default:"1"`
}

// Faults holds the failures that can be injected into an engine.
type Faults struct {
	// SlowFactor scales the time of every token; 0 leaves it unchanged.
	SlowFactor float64 `json:"slow_factor"`
	// StragglerShare is the share of streams whose tokens take StragglerFactor
	// times as long.
	StragglerShare  float64 `json:"straggle_share"`
	StragglerFactor float64 `json:"straggle_factor"`
	// CutShare is the share of streams whose connection is cut in the middle.
	CutShare float64 `json:"break_share"`
	// WrongAttemptShare is the share of streams that report the ID of another attempt.
	WrongAttemptShare float64 `json:"cross_share"`
	// SwitchFails answers every order to switch weights with an error; the
	// engine may or may not have switched.
	SwitchFails bool `json:"switch_fails"`
	// NoVersion omits the weight version from the tokens of a stream.
	NoVersion bool `json:"no_version"`
	// CrashMS crashes the engine: all streams are cut, and the engine is down for
	// this many milliseconds and then has its initial weights.
	CrashMS int64 `json:"crash_ms"`
}
