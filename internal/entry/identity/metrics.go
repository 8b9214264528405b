package identity

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts the verdicts. A nil *Metrics counts nothing.
type Metrics struct {
	verdicts *prometheus.CounterVec
}

// NewMetrics returns Metrics that are registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		verdicts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "egretbend_identified_total",
			Help: "Requests by what their key says.",
		}, []string{"verdict"}),
	}
	r.MustRegister(m.verdicts)
	return m
}

func (m *Metrics) countVerdict(v Verdict) {
	if m != nil {
		m.verdicts.WithLabelValues(string(v)).Inc()
	}
}
