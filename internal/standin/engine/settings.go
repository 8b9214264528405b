package engine

import "github.com/egretbend/egretbend/internal/fleet/version"

// Settings are the properties of an engine.
type Settings struct {
	ID            string `json:"id"`
	Group         string `json:"group" need:"true"`
	FailureDomain string `json:"failure_domain"`
	Slots         int    `json:"slots" default:"8" min:"1"`
	// Queue is how many requests may wait.
	Queue int `json:"queue" default:"8" min:"0"`
	// TokenMS is the time of one token on an idle engine, in milliseconds.
	TokenMS float64 `json:"token_ms" default:"5" min:"0"`
	// PrefillMS is the time to read a prompt that is not in the cache.
	PrefillMS float64 `json:"prefill_ms" default:"20" min:"0"`
	// CacheEntries is how many prompts the prefix cache holds.
	CacheEntries int `json:"cache_entries" default:"16" min:"0"`
	// SwitchMS is how long a switch of weights stalls all streams.
	SwitchMS int64 `json:"switch_ms" default:"50" min:"0"`
	// ReportLagMS is by how much the load report is behind.
	ReportLagMS int64 `json:"report_lag_ms" default:"0" min:"0"`
	// ChecksFencing refuses orders with an old number.
	ChecksFencing bool `json:"checks_fencing" default:"false"`
	// Weights is the address of the weight store; empty fetches at once.
	Weights string          `json:"weights" default:""`
	Initial version.Version `json:"initial"`
	Seed    uint64          `json:"seed" default:"1"`
}

// Faults are what can be wrong with an engine.
type Faults struct {
	// SlowFactor makes every token take longer by this factor.
	SlowFactor float64 `json:"slow_factor"`
	// StraggleShare is the share of streams that are slower by StraggleFactor.
	StraggleShare  float64 `json:"straggle_share"`
	StraggleFactor float64 `json:"straggle_factor"`
	// BreakShare is the share of streams that are cut in the middle.
	BreakShare float64 `json:"break_share"`
	// CrossShare is the share of streams that name another attempt.
	CrossShare float64 `json:"cross_share"`
	// SwitchFails makes orders to switch fail partway: the engine answers
	// with an error and may have switched or not.
	SwitchFails bool `json:"switch_fails"`
	// NoVersion leaves the version out of the stream.
	NoVersion bool `json:"no_version"`
	// CrashMS crashes the engine: all streams are cut, and after this many
	// milliseconds it is back with its initial weights.
	CrashMS int64 `json:"crash_ms"`
}
