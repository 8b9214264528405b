package admission

import "time"

// Limits of the sends that upstreams refuse.
const (
	// MaxRefusedSends is the maximum number of sends of a request that upstreams refuse.
	MaxRefusedSends = 3
	// RetryShare is the fraction of a send after a refusal that each answer adds to the retry
	// budget of its service. It keeps the sends per served request below 1.3 once the
	// reserve of the budget is spent.
	RetryShare = 0.2
	// firstPause follows the first refusal. A slot of a service with calls of 20 to 30 ms
	// becomes free in that time. It doubles with each further refusal, up to maxPause.
	firstPause = 20 * time.Millisecond
	maxPause   = 160 * time.Millisecond
)

// Pause returns how long to wait before the next send after that many refused sends in a row,
// with a jitter of a factor of 0.5 to 1.5. random is in [0, 1).
func Pause(refusals int, random float64) time.Duration {
	pause := min(firstPause<<min(max(0, refusals-1), 10), maxPause)
	return Jitter(pause, random)
}

// Jitter scales d by a factor of 0.5 to 1.5, so that callers that were refused together don't return together.
// random is in [0, 1).
func Jitter(d time.Duration, random float64) time.Duration {
	return time.Duration(float64(d) * (0.5 + random))
}
