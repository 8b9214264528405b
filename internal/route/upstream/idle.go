package upstream

import (
	"sync/atomic"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// idleConnections estimates this instance's idle connections to an upstream. The connections
// themselves belong to the transport. If the upstream has closed one in the meantime, the only
// cost is a new connection. The zero value means none.
type idleConnections struct {
	count     atomic.Int64
	expiresAt atomic.Int64
}

// ConnectionIdle records that the connection of a request that just ended stays open for
// keepAlive.
func (u *Upstream) ConnectionIdle(now timer.Instant, keepAlive time.Duration) {
	if keepAlive <= 0 {
		return
	}
	if int64(now) > u.idleConns.expiresAt.Load() {
		u.idleConns.count.Store(0)
	}
	u.idleConns.expiresAt.Store(int64(now.Add(keepAlive)))
	u.idleConns.count.Add(1)
	if u.Shared != nil && u.inIdleList.CompareAndSwap(false, true) {
		u.Shared.idle.add(u, now)
	}
}

// HasIdleConnection reports whether this instance has an idle connection to the upstream.
func (u *Upstream) HasIdleConnection(now timer.Instant) bool {
	return u.idleConns.count.Load() > 0 && int64(now) < u.idleConns.expiresAt.Load()
}

// takeIdleConnection records that a request uses an idle connection, if there is one.
func (u *Upstream) takeIdleConnection() {
	for {
		n := u.idleConns.count.Load()
		if n <= 0 || u.idleConns.count.CompareAndSwap(n, n-1) {
			return
		}
	}
}
