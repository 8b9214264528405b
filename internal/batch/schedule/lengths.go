package schedule

import (
	"sync"
)

// The limits of what is learnt of lengths.
const (
	// lengthsLeast is how many events must be known before an estimate in
	// tokens is turned into events.
	lengthsLeast = 100
	// lengthsMost is when what is known counts for half from then on: some
	// steps of a few hundred items.
	lengthsMost = 20000
)

// Lengths learns from finished items how many tokens of an estimate make an
// event. Its zero value knows nothing.
type Lengths struct {
	mu     sync.Mutex
	tokens float64
	events float64
}

// Finished notes an item that was estimated at some tokens and had some events.
func (l *Lengths) Finished(tokens, events int) {
	if tokens <= 0 || events <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.events > lengthsMost {
		l.tokens, l.events = l.tokens/2, l.events/2
	}
	l.tokens += float64(tokens)
	l.events += float64(events)
}

// Tokens returns how many tokens of an estimate some events stand for, 0 if that
// is not known.
func (l *Lengths) Tokens(events int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.events < lengthsLeast {
		return 0
	}
	return int(float64(events) * l.tokens / l.events)
}

// Events returns how many events an estimate in tokens stands for, 0 if that is
// not known.
func (l *Lengths) Events(tokens int) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.events < lengthsLeast {
		return 0
	}
	return float64(tokens) * l.events / l.tokens
}
