package crashnotice

import "github.com/prometheus/client_golang/prometheus"

// ClaimMetrics counts the decisions on claims. A nil ClaimMetrics counts nothing.
type ClaimMetrics struct {
	claims *prometheus.CounterVec
}

// NewClaimMetrics registers the counter.
func NewClaimMetrics(reg prometheus.Registerer) *ClaimMetrics {
	m := &ClaimMetrics{
		claims: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "egretbend_crash_claims_total",
			Help: "Decisions on claims of requests that are suspected of crashing upstreams, by outcome.",
		}, []string{"outcome"}),
	}
	reg.MustRegister(m.claims)
	return m
}

func (m *ClaimMetrics) count(outcome string) {
	if m != nil {
		m.claims.WithLabelValues(outcome).Inc()
	}
}
