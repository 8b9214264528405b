package loadgen

// Settings describe one stream of requests.
type Settings struct {
	Caller     string `json:"caller" need:"true"`
	Deployment string `json:"deployment" need:"true"`
	// Kind is "service" for orders and "model" for completions.
	Kind          string `json:"kind" default:"service" oneof:"service,model"`
	Priority      string `json:"priority" default:"interactive" oneof:"interactive,training,background"`
	FailureDomain string `json:"failure_domain" default:""`
	// Idempotent marks the requests as idempotent; they are sent without a ticket.
	Idempotent bool `json:"idempotent" default:"false"`
	// Direct sends requests straight to the services, to measure the latency that
	// an instance adds.
	Direct bool `json:"direct" default:"false"`
	// PerSecond is the mean arrival rate.
	PerSecond float64 `json:"per_second" default:"20" min:"0.001"`
	// BurstFactor multiplies the rate between BurstFromMS and BurstToMS, which
	// count from the start of the run.
	BurstFactor float64 `json:"burst_factor" default:"1" min:"0"`
	BurstFromMS int64   `json:"burst_from_ms" default:"0" min:"0"`
	BurstToMS   int64   `json:"burst_to_ms" default:"0" min:"0"`
	DeadlineMS  int64   `json:"deadline_ms" default:"5000" min:"1"`
	MaxTokens   int     `json:"max_tokens" default:"16" min:"1"`
	// Prompts is the number of different prompts of completions.
	Prompts int    `json:"prompts" default:"32" min:"1"`
	Seed    uint64 `json:"seed" default:"1"`
	// Retries is how often a caller repeats a refused request, each time after
	// the retry time in the refusal.
	Retries int `json:"retries" default:"0" min:"0" max:"10"`
}
