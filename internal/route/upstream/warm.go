package upstream

import (
	"sync/atomic"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// warmth is what this instance knows of its idle connections to an upstream.
// The connections themselves are the transport's; one that the upstream closed
// meanwhile costs a new connection, no more. Its zero value knows of none.
type warmth struct {
	idle  atomic.Int64
	until atomic.Int64
}

// Kept notes that the connection of a request that has just ended stays open for
// some time.
func (u *Upstream) Kept(now timer.Instant, stays time.Duration) {
	if stays <= 0 {
		return
	}
	if int64(now) > u.warmth.until.Load() {
		u.warmth.idle.Store(0)
	}
	u.warmth.until.Store(int64(now.Add(stays)))
	u.warmth.idle.Add(1)
}

// Warm reports whether this instance has an idle connection to the upstream.
func (u *Upstream) Warm(now timer.Instant) bool {
	return u.warmth.idle.Load() > 0 && int64(now) < u.warmth.until.Load()
}

// takeWarm notes that a request takes an idle connection, if there is one.
func (u *Upstream) takeWarm() {
	for {
		n := u.warmth.idle.Load()
		if n <= 0 || u.warmth.idle.CompareAndSwap(n, n-1) {
			return
		}
	}
}
