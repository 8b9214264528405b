package forward

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/egretbend/egretbend/internal/route/catalog"
)

// Metrics holds the forwarder's metrics. A nil *Metrics records nothing.
type Metrics struct {
	requests *prometheus.CounterVec
	attempts *prometheus.CounterVec
	latency  *prometheus.HistogramVec
}

// NewMetrics registers the forwarder's metrics.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "egretbend_forward_requests_total",
			Help: "Requests by route and outcome.",
		}, []string{"route", "outcome"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "egretbend_forward_attempts_total",
			Help: "Attempts at upstreams by outcome.",
		}, []string{"outcome"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "egretbend_forward_seconds",
			Help:    "Time from reading a request to its answer.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
		}, []string{"route"}),
	}
	reg.MustRegister(m.requests, m.attempts, m.latency)
	return m
}

// request records a finished request.
func (m *Metrics) request(r catalog.Route, outcome string, took time.Duration) {
	if m == nil {
		return
	}
	m.requests.WithLabelValues(r.Name, outcome).Inc()
	m.latency.WithLabelValues(r.Name).Observe(took.Seconds())
}

// attempt records a finished attempt.
func (m *Metrics) attempt(r attemptResult) {
	if m == nil {
		return
	}
	m.attempts.WithLabelValues(outcomeOf(r)).Inc()
}
