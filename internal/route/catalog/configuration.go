package catalog

import (
	"sort"
	"strings"
	"sync/atomic"
	"time"

	"github.com/egretbend/egretbend/internal/route/organisation"
	"github.com/egretbend/egretbend/internal/route/residency"
)

// Kind determines how the requests of a route may be handled.
type Kind string

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = "non_idempotent"
	// Streaming answers are forwarded event by event.
	Streaming Kind = "streaming"
	// Rollout requests are batches of prompts, which run later.
	Rollout Kind = "rollout"
)

// WeightedService is a service with its weight in the split of a route's requests.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route configures where and how requests for a host and path prefix are routed.
type Route struct {
	Name      string
	Host      string
	Prefix    string
	Kind      Kind
	Split     []WeightedService
	Timeout   time.Duration
	Objective time.Duration
	// Attempts is the maximum number of upstreams that one request may be sent to.
	Attempts int
	// Priority is the rank of the requests; 0 is the highest.
	Priority int
	// Resumable allows a stream to be continued at another upstream.
	Resumable bool
	// SingleVersion requires that each sample comes from one weight version alone.
	SingleVersion bool
	// ResultDeadline is the time within which the results of a batch are due.
	ResultDeadline time.Duration
	// GiveUpAfter is the time after which an item of a batch may be given up.
	GiveUpAfter time.Duration
	// Public routes require no key.
	Public bool
	// Regions are the regions in which requests of the route may be served and stored.
	Regions residency.Regions
}

// Repeatable reports whether a request of the route may run more than once.
func (r Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Rollout || (r.Kind == Streaming && r.Resumable)
}

// ChooseService returns the service for a random number in [0, 1), in proportion to the weights in
// r.Split. It returns "" if r.Split is empty.
func (r Route) ChooseService(random float64) string {
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

// Scaling bounds how many upstreams of a service may be ordered, and gives their cost.
type Scaling struct {
	// MaxPerDomain is the maximum number of upstreams in one failure domain.
	MaxPerDomain int
	// BootTime is the time from the order of an upstream until it serves requests.
	BootTime time.Duration
	// Prices are the prices of an upstream by failure domain, relative to each other.
	Prices map[string]float64
}

// Service is a group of upstreams. Engine is nil if they are not model engines, and Scaling is
// nil if they can't be ordered.
type Service struct {
	Name        string
	HealthPath  string
	Connections int
	Engine      *Engine
	Scaling     *Scaling
	// ColdStart is how long an upstream is cold after its start, and ColdRate the requests per
	// second that a cold one can take. If both are zero, the service has no slow start.
	ColdStart time.Duration
	ColdRate  float64
}

// SlowStart reports whether upstreams of the service are cold after their start.
func (s *Service) SlowStart() bool { return s.ColdStart != 0 || s.ColdRate != 0 }

// Limits bound the requests of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of the settings made by operators. It is immutable.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Organisations holds the organisations and their keys. If it is empty, requests need no key.
	Organisations organisation.Directory

	// routesByHost holds the routes of each host, those with the longest prefix first.
	routesByHost map[string][]Route
	residency    regionIndex
	// superseded is closed when a holder replaces the configuration.
	superseded *closeOnce
}

// WithIndex returns a copy of the configuration with the index that Find uses.
func (c Configuration) WithIndex() *Configuration {
	c.routesByHost = make(map[string][]Route)
	for _, r := range c.Routes {
		c.routesByHost[r.Host] = append(c.routesByHost[r.Host], r)
	}
	for _, routes := range c.routesByHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	c.residency = newRegionIndex(&c)
	c.superseded = &closeOnce{
		ch: make(chan struct{}),
	}
	return &c
}

// Find returns the route of host with the longest prefix of path.
func (c *Configuration) Find(host, path string) (Route, bool) {
	for _, r := range c.routesByHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Holder holds the current configuration. Its zero value holds none.
type Holder struct {
	current atomic.Pointer[Configuration]
}

// Current returns the current configuration, or nil before the first one.
func (h *Holder) Current() *Configuration { return h.current.Load() }

// Update makes c the current configuration and reports true, unless the current one has the same
// or a higher version.
func (h *Holder) Update(c *Configuration) bool {
	for {
		old := h.current.Load()
		if old != nil && old.Version >= c.Version {
			return false
		}
		if h.current.CompareAndSwap(old, c) {
			old.supersede()
			return true
		}
	}
}
