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
	// share is the most events that an item had for each token that it was
	// allowed.
	share float64
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

// Capped notes how many events an item had that was allowed some tokens.
func (l *Lengths) Capped(allowed, events int) {
	if allowed <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.share = max(l.share, float64(events)/float64(allowed))
}

// Most returns the most events of an item that is allowed some tokens, 0 if that
// is not known. It is reached where items end at what they are allowed.
func (l *Lengths) Most(allowed int) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.share * float64(allowed)
}

// Known reports whether estimates in tokens can be turned into events.
func (l *Lengths) Known() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.events >= lengthsLeast
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
