package weights

import "github.com/prometheus/client_golang/prometheus"

// Metrics holds the metrics of the division of engines. A nil Metrics records nothing.
type Metrics struct {
	share *prometheus.GaugeVec
}

// NewMetrics returns Metrics that are registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		share: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "egretbend_engine_share",
			Help: "Fraction of the engines of its service that each model has, as divided at this instance.",
		}, []string{"model"}),
	}
	r.MustRegister(m.share)
	return m
}

// setShares sets the shares of models.
func (m *Metrics) setShares(shares map[string]float64) {
	if m == nil {
		return
	}
	for model, share := range shares {
		m.share.WithLabelValues(model).Set(share)
	}
}

// forget removes the shares of models that a service no longer has.
func (m *Metrics) forget(models []string) {
	if m == nil {
		return
	}
	for _, model := range models {
		m.share.DeleteLabelValues(model)
	}
}
