package crashnotice

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts the crashes that a board knows of and the writes of its notices. A nil
// Metrics counts nothing.
type Metrics struct {
	crashes     prometheus.Gauge
	quarantined prometheus.Gauge
	writes      *prometheus.CounterVec
	dropped     prometheus.Counter
}

// NewMetrics registers the counters and gauges.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		crashes: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "egretbend_crashes_known",
			Help: "Ends of upstreams under requests that were not answered since, at all instances.",
		}),
		quarantined: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "egretbend_quarantined_requests",
			Help: "Requests that are refused as upstreams end under them.",
		}),
		writes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "egretbend_crash_notices_total",
			Help: "Writes by which this instance tells of crashes, by outcome.",
		}, []string{"outcome"}),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "egretbend_crash_notices_forgotten_total",
			Help: "Notices of crashes that this instance dropped as it had too many.",
		}),
	}
	reg.MustRegister(m.crashes, m.quarantined, m.writes, m.dropped)
	return m
}

func (m *Metrics) setKnown(crashes, quarantined int) {
	if m != nil {
		m.crashes.Set(float64(crashes))
		m.quarantined.Set(float64(quarantined))
	}
}

func (m *Metrics) countWrite(outcome string) {
	if m != nil {
		m.writes.WithLabelValues(outcome).Inc()
	}
}

func (m *Metrics) countDropped(n int) {
	if m != nil {
		m.dropped.Add(float64(n))
	}
}
