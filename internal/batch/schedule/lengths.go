package schedule

import (
	"math"
	"sync"
)

// Limits of the sums that Lengths keeps.
const (
	// minKnownEvents is the number of events that must be known before an estimate in
	// tokens is converted into events.
	minKnownEvents = 100
	// halvingEvents is the number of events above which the sums are halved, so that
	// newer items count more. It corresponds to some steps of a few hundred items.
	halvingEvents = 20000
	// maxDeviation bounds the deviation of one item from its estimate, as a multiple of the
	// estimate. A few texts of a hundred times their estimate would hold all others back.
	maxDeviation = 3
)

// Lengths learns from finished items how many tokens of an estimate correspond to one
// event. The zero value is empty and ready to use.
type Lengths struct {
	mu     sync.Mutex
	tokens float64
	events float64
	// squares is the sum of the squared deviations of items from their estimates, in estimates,
	// and weight that of the tokens by which they are weighted.
	squares float64
	weight  float64
	// maxEventsPerToken is the largest number of events that an item had for each token
	// that it was allowed.
	maxEventsPerToken float64
}

// Record records a finished item with its estimate in tokens and its number of events.
func (l *Lengths) Record(tokens, events int) {
	if tokens <= 0 || events <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.events > halvingEvents {
		l.tokens, l.events = l.tokens/2, l.events/2
		l.squares, l.weight = l.squares/2, l.weight/2
	}
	if l.events >= minKnownEvents {
		deviation := min(float64(events)*l.tokens/l.events/float64(tokens)-1, maxDeviation)
		l.squares += float64(tokens) * deviation * deviation
		l.weight += float64(tokens)
	}
	l.tokens += float64(tokens)
	l.events += float64(events)
}

// Spread returns the standard deviation of the lengths of items from their estimates, as a
// share of the estimate; 0 if unknown. Long items count more, as they take more memory.
func (l *Lengths) Spread() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.weight == 0 {
		return 0
	}
	return math.Sqrt(l.squares / l.weight)
}

// RecordLimited records the number of events of an item that was allowed the given number
// of tokens.
func (l *Lengths) RecordLimited(allowed, events int) {
	if allowed <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxEventsPerToken = max(l.maxEventsPerToken, float64(events)/float64(allowed))
}

// MaxEvents returns the largest number of events of an item that is allowed the given
// number of tokens, 0 if unknown. Items that end at their token limit reach it.
func (l *Lengths) MaxEvents(allowed int) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.maxEventsPerToken * float64(allowed)
}

// Known reports whether estimates in tokens can be converted into events.
func (l *Lengths) Known() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.events >= minKnownEvents
}

// Tokens converts a number of events into tokens of an estimate; it returns 0 if the
// ratio is unknown.
func (l *Lengths) Tokens(events int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.events < minKnownEvents {
		return 0
	}
	return int(float64(events) * l.tokens / l.events)
}

// Events converts an estimate in tokens into events; it returns 0 if the ratio is
// unknown.
func (l *Lengths) Events(tokens int) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.events < minKnownEvents {
		return 0
	}
	return float64(tokens) * l.events / l.tokens
}
