package watchrelay

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics counts the queries of this instance. A nil *Metrics counts nothing.
type Metrics struct {
	queries *prometheus.CounterVec
}

// NewMetrics returns Metrics that are registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		queries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "egretbend_watch_queries_total",
			Help: "Queries of watchers by how they ended, and watches of the key-value service that took their place.",
		}, []string{"outcome"}),
	}
	r.MustRegister(m.queries)
	return m
}

// countQuery counts a query of a watcher that ended with err.
func (m *Metrics) countQuery(err error) {
	if m == nil {
		return
	}
	outcome := "answered"
	switch {
	case errors.Is(err, errStale):
		outcome = "stale"
	case err != nil:
		outcome = "silent"
	}
	m.queries.WithLabelValues(outcome).Inc()
}

// countService counts a watch of the service by an instance that should have had a watcher.
func (m *Metrics) countService() {
	if m != nil {
		m.queries.WithLabelValues("service").Inc()
	}
}
