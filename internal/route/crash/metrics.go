package crash

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics counts what a Reporter sees; nil counts nothing.
type Metrics struct {
	cuts    *prometheus.CounterVec
	notSeen prometheus.Counter
}

// NewMetrics registers the counters.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		cuts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "egretbend_forward_cuts_total",
			Help: "Requests whose connection was cut before an answer, by whether their upstream had ended.",
		}, []string{"ended"}),
		notSeen: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "egretbend_forward_cuts_dropped_total",
			Help: "Requests that were cut and not looked at, as too many were.",
		}),
	}
	reg.MustRegister(m.cuts, m.notSeen)
	return m
}

func (m *Metrics) cut(ended bool) {
	if m != nil {
		m.cuts.WithLabelValues(strconv.FormatBool(ended)).Inc()
	}
}

func (m *Metrics) dropped() {
	if m != nil {
		m.notSeen.Inc()
	}
}
