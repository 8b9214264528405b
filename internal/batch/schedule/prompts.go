package schedule

import (
	"sync"
	"time"
)

// Limits of the sums that PromptReading keeps.
const (
	// minKnownPrompts is the number of tokens that must have been read before reading
	// times are estimated, a few prompts: they must be known when the first engine is
	// through at the start of the first step.
	minKnownPrompts = 500
	// halvingPrompts is the number of tokens above which the sums are halved, so that
	// newer prompts count more. It corresponds to the prompts of some steps.
	halvingPrompts = 400_000
)

// PromptReading learns from first events how long engines take to read prompts. The zero
// value is empty and ready to use.
//
// It is designed for the start of a step, when each engine gets several prompts at once: of
// 2,050 moves of a day as failing, many had no event after 400 ms at an engine that read.
type PromptReading struct {
	mu      sync.Mutex
	tokens  float64
	seconds float64
}

// Record records the time from the beginning of an attempt to its first event beyond a
// usual event interval, and the tokens that were queued at the engine in front of it,
// those of its own prompt included.
func (r *PromptReading) Record(tokens int64, took time.Duration) {
	if tokens <= 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tokens > halvingPrompts {
		r.tokens, r.seconds = r.tokens/2, r.seconds/2
	}
	r.tokens += float64(tokens)
	r.seconds += max(0, took).Seconds()
}

// Expected returns the time that an engine needs to read the given number of tokens, 0 if
// unknown.
func (r *PromptReading) Expected(tokens int64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tokens < minKnownPrompts {
		return 0
	}
	return time.Duration(float64(tokens) * r.seconds / r.tokens * float64(time.Second))
}
