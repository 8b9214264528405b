package usage

import "github.com/prometheus/client_golang/prometheus"

// Metrics holds the metrics of reports. A nil Metrics records nothing.
type Metrics struct {
	requests *prometheus.CounterVec
	windows  prometheus.Counter
	leftOut  prometheus.Counter
}

// NewMetrics returns Metrics that are registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "egretbend_usage_requests_total",
			Help: "Requests that were reported by organisation, at the instance that reports.",
		}, []string{"organisation"}),
		windows: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "egretbend_usage_windows_total",
			Help: "Windows of usage that were reported.",
		}),
		leftOut: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "egretbend_usage_left_out_total",
			Help: "Failure domains whose counts a report had to leave out.",
		}),
	}
	r.MustRegister(m.requests, m.windows, m.leftOut)
	return m
}

// recordReport counts a report from which leftOut failure domains are missing.
func (m *Metrics) recordReport(r Report, leftOut int) {
	if m == nil {
		return
	}
	m.windows.Inc()
	m.leftOut.Add(float64(leftOut))
	for organisation, n := range r.Counts {
		m.requests.WithLabelValues(organisation).Add(float64(n))
	}
}
