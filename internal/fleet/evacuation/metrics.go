package evacuation

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts the changes and describes the present evacuations. A nil *Metrics records
// nothing.
type Metrics struct {
	tracker *Tracker
	changes *prometheus.CounterVec
}

var (
	descSeconds = prometheus.NewDesc("egretbend_evacuation_seconds",
		"Time since this instance learned that a failure domain is evacuated.", []string{"domain"}, nil)
	descInFlight = prometheus.NewDesc("egretbend_evacuation_in_flight",
		"Requests of this instance that still run in an evacuated failure domain.", []string{"domain"}, nil)
)

// NewMetrics registers the metrics of a tracker with reg.
func NewMetrics(reg prometheus.Registerer, t *Tracker) *Metrics {
	m := &Metrics{
		tracker: t,
		changes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "egretbend_evacuation_changes_total",
			Help: "Evacuations of failure domains that began and ended.",
		}, []string{"change"}),
	}
	reg.MustRegister(m.changes, m)
	return m
}

// Describe implements prometheus.Collector.
func (m *Metrics) Describe(c chan<- *prometheus.Desc) {
	c <- descSeconds
	c <- descInFlight
}

// Collect implements prometheus.Collector.
func (m *Metrics) Collect(c chan<- prometheus.Metric) {
	for _, s := range m.tracker.Status() {
		c <- prometheus.MustNewConstMetric(descSeconds, prometheus.GaugeValue, s.For().Seconds(), s.Domain)
		c <- prometheus.MustNewConstMetric(descInFlight, prometheus.GaugeValue, float64(s.InFlight), s.Domain)
	}
}

func (m *Metrics) count(e Event) {
	if m == nil {
		return
	}
	change := "began"
	if e.Ended {
		change = "ended"
	}
	m.changes.WithLabelValues(change).Inc()
}
