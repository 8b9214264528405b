package descriptor

import (
	"sync"

	"golang.org/x/sys/unix"
)

// Use is what a connection is for.
type Use int

// The uses.
const (
	// Callers are the connections of callers and trainers.
	Callers Use = iota
	// Upstreams are the connections to upstreams.
	Upstreams
	// Peers are the connections that other instances open.
	Peers
	useCount
)

// reserved is how many descriptors are left for what is not counted: files, pipes and listeners, the
// connections to the store and those to other instances, which are bounded by themselves.
const reserved = 328

// minLimit is the limit of a process with hardly any descriptors.
const minLimit = 64

// The parts of the limit, in eighths. Each use has its own part; the rest is shared.
var ownEighths = [useCount]int{
	Callers:   2,
	Upstreams: 3,
	Peers:     1,
}

const sharedEighths = 2

// Available returns how many descriptors there are for connections, by the limit of the process and,
// unless it is 0, a configured one.
func Available(configured int) int {
	limit := configured
	var r unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &r); err == nil && (limit <= 0 || r.Cur < uint64(limit)) {
		limit = int(min(r.Cur, 1<<20))
	}
	return max(minLimit, limit-reserved)
}

// Budget counts connections. A nil *Budget has no limit.
type Budget struct {
	limit int

	mu      sync.Mutex
	held    [useCount]int
	refused [useCount]int
}

// New returns a Budget for limit connections.
func New(limit int) *Budget { return &Budget{limit: limit} }

// Limit returns the greatest number of connections.
func (b *Budget) Limit() int { return b.limit }

// Take counts a connection, or reports false if there is no descriptor for it.
func (b *Budget) Take(u Use) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.held[u] >= b.own(u) && b.shared() >= b.limit*sharedEighths/8 {
		b.refused[u]++
		return false
	}
	b.held[u]++
	return true
}

// Return counts a connection that was closed.
func (b *Budget) Return(u Use) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held[u]--
}

// Held returns the number of connections of a use.
func (b *Budget) Held(u Use) int {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held[u]
}

// Refused returns how often Take reported false for a use.
func (b *Budget) Refused(u Use) int {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.refused[u]
}

// own returns the part of the limit that a use has for itself.
func (b *Budget) own(u Use) int { return b.limit * ownEighths[u] / 8 }

// shared returns how much of the shared part is taken. b.mu is held.
func (b *Budget) shared() int {
	n := 0
	for u := range useCount {
		n += max(0, b.held[u]-b.own(u))
	}
	return n
}
