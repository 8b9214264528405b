package slowstart

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts the permits, claims and withheld requests. A nil *Metrics counts nothing.
type Metrics struct {
	permits  prometheus.Counter
	readings prometheus.Counter
	withheld *prometheus.CounterVec
	claims   *prometheus.CounterVec
}

// NewMetrics registers the metrics.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		permits: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "egretbend_cold_permits_total",
			Help: "Permits taken for requests to cold upstreams.",
		}),
		readings: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "egretbend_cold_readings_unusable_total",
			Help: "Readings of the coldness of upstreams that were not usable.",
		}),
		withheld: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "egretbend_cold_withheld_total",
			Help: "Requests that were not written because their upstream is cold, by reason.",
		}, []string{"reason"}),
		claims: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "egretbend_cold_claims_total",
			Help: "Claims of shares of cold upstreams, by outcome.",
		}, []string{"outcome"}),
	}
	reg.MustRegister(m.permits, m.readings, m.withheld, m.claims)
	return m
}

func (m *Metrics) permitTaken() {
	if m != nil {
		m.permits.Inc()
	}
}

func (m *Metrics) badReading() {
	if m != nil {
		m.readings.Inc()
	}
}

func (m *Metrics) requestWithheld(reason string) {
	if m != nil {
		m.withheld.WithLabelValues(reason).Inc()
	}
}

func (m *Metrics) claimEnded(outcome string) {
	if m != nil {
		m.claims.WithLabelValues(outcome).Inc()
	}
}
