package crash

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics holds the counters of a Reporter; a nil *Metrics counts nothing.
type Metrics struct {
	cuts    *prometheus.CounterVec
	dropped prometheus.Counter
}

// NewMetrics creates the counters and registers them with reg.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		cuts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "egretbend_forward_cuts_total",
			Help: "Requests whose connection was cut before an answer, by whether their upstream had ended.",
		}, []string{"ended"}),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "egretbend_forward_cuts_dropped_total",
			Help: "Requests that were cut and not looked at, as too many were.",
		}),
	}
	reg.MustRegister(m.cuts, m.dropped)
	return m
}

func (m *Metrics) countCut(crashed bool) {
	if m != nil {
		m.cuts.WithLabelValues(strconv.FormatBool(crashed)).Inc()
	}
}

func (m *Metrics) countDropped() {
	if m != nil {
		m.dropped.Inc()
	}
}
