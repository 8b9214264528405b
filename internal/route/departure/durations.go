package departure

import (
	"sync"
	"time"
)

// Limits of what is remembered.
const (
	// maxSamples is how many requests of a route are remembered.
	maxSamples = 64
	// maxRoutes is how many routes are remembered. Routes come and go with the configuration.
	maxRoutes = 256
)

// durations remembers how long the latest requests of each route took. Its zero value is empty.
type durations struct {
	mu     sync.Mutex
	routes map[string]*samples
}

// samples is a ring of durations.
type samples struct {
	ring []time.Duration
	next int
}

// add remembers a duration.
func (d *durations) add(route string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.routes[route]
	if s == nil {
		if d.routes == nil || len(d.routes) >= maxRoutes {
			d.routes = make(map[string]*samples)
		}
		s = &samples{}
		d.routes[route] = s
	}
	if len(s.ring) < maxSamples {
		s.ring = append(s.ring, took)
		return
	}
	s.ring[s.next] = took
	s.next = (s.next + 1) % maxSamples
}

// longerShare returns the share of the remembered requests of a route that took longer than limit.
func (d *durations) longerShare(route string, limit time.Duration) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.routes[route]
	if s == nil {
		return 0
	}
	longer := 0
	for _, took := range s.ring {
		if took > limit {
			longer++
		}
	}
	return float64(longer) / float64(len(s.ring))
}
