package catalog

import (
	"sort"
	"strings"
	"sync/atomic"
	"time"

	"github.com/egretbend/egretbend/internal/route/organisation"
)

// Kind says what may be done with requests of a route.
type Kind string

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = "non_idempotent"
	// Streaming answers are passed on event by event.
	Streaming Kind = "streaming"
	// Rollout takes batches of prompts that run later.
	Rollout Kind = "rollout"
)

// Share is a service with its part of a route's requests.
type Share struct {
	Service string
	Weight  float64
}

// Route says where requests of a host and path prefix go.
type Route struct {
	Name      string
	Host      string
	Prefix    string
	Kind      Kind
	Split     []Share
	Timeout   time.Duration
	Objective time.Duration
	// Attempts is the most upstreams that one request may be sent to.
	Attempts int
	// Priority is the rank; 0 is the highest.
	Priority int
	// Resumable streams may go on at another upstream.
	Resumable bool
	// SingleVersion wants each sample from one weight version alone.
	SingleVersion bool
	// ResultDeadline is when the results of a batch are due.
	ResultDeadline time.Duration
	// GiveUpAfter is when an item of a batch may be given up.
	GiveUpAfter time.Duration
	// Public routes need no key.
	Public bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Rollout || (r.Kind == Streaming && r.Resumable)
}

// Choose returns the service for a random number in [0, 1).
func (r Route) Choose(random float64) string {
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	at := random * total
	for _, s := range r.Split {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	if len(r.Split) == 0 {
		return ""
	}
	return r.Split[len(r.Split)-1].Service
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots  int
	Tokens int
	Models []string
}

// Scaling bounds how many upstreams of a service may be ordered, and says what they cost.
type Scaling struct {
	// Most is the most of them in a failure domain.
	Most int
	// BootTime is how long after its order an upstream serves.
	BootTime time.Duration
	// Prices are those of an upstream by failure domain, relative to each other.
	Prices map[string]float64
}

// Service is a group of upstreams. Engine is nil for a plain one, Scaling for one whose
// upstreams can't be ordered.
type Service struct {
	Name        string
	HealthPath  string
	Connections int
	Engine      *Engine
	Scaling     *Scaling
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of what operators decided. It is immutable.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Organisations are those whose keys requests bear; where it is empty requests
	// need none.
	Organisations organisation.Directory

	hosts map[string][]Route
}

// WithIndex returns the configuration ready for Find.
func (c Configuration) WithIndex() *Configuration {
	c.hosts = make(map[string][]Route)
	for _, r := range c.Routes {
		c.hosts[r.Host] = append(c.hosts[r.Host], r)
	}
	for _, routes := range c.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	return &c
}

// Find returns the route of host with the longest prefix of path.
func (c *Configuration) Find(host, path string) (Route, bool) {
	for _, r := range c.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Holder keeps the configuration in force. Its zero value holds none.
type Holder struct {
	current atomic.Pointer[Configuration]
}

// Current returns the configuration in force, or nil before the first one.
func (h *Holder) Current() *Configuration { return h.current.Load() }

// Take puts c in force unless the same or a newer version is.
func (h *Holder) Take(c *Configuration) bool {
	for {
		old := h.current.Load()
		if old != nil && old.Version >= c.Version {
			return false
		}
		if h.current.CompareAndSwap(old, c) {
			return true
		}
	}
}
