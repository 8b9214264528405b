package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/upstream"
)

// Guards against an instance that opens a connection for nearly every request, which
// costs a round trip and may hold a slot of the upstream. It sends one request a second
// to 37 upstreams, of which a random choice would rarely hit one with an idle
// connection. A busy upstream must still be avoided.
func TestIdleConnectionsAreReused(t *testing.T) {
	is := is.New(t)
	s := &upstream.Set{}
	for range 37 {
		s.Upstreams = append(s.Upstreams, &upstream.Upstream{Slots: 6})
	}
	now := timer.Instant(time.Hour)
	opened := 0
	for i := range uint64(60) {
		now = now.Add(time.Second)
		u := IdleConnection{}.Choose(s, Query{Random: splitMix64(i), Now: now}).Upstream
		if !u.HasIdleConnection(now) {
			opened++
		}
		u.Begin()
		u.Succeeded(time.Millisecond)
		u.ConnectionIdle(now, 5*time.Second)
	}
	is.Equal(opened, 1)

	var idle *upstream.Upstream
	for _, u := range s.Upstreams {
		if u.HasIdleConnection(now) {
			idle = u
		}
	}
	is.True(!idle.HasIdleConnection(now.Add(6 * time.Second))) // the upstream has closed the connection
	for range 4 {
		idle.Begin()
	}
	idle.ConnectionIdle(now, 5*time.Second)
	is.True(IdleConnection{}.Choose(s, Query{Random: 1, Now: now}).Upstream != idle)
}
