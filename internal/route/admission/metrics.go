package admission

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics counts refusals and waits at all gates. A nil *Metrics counts nothing.
type Metrics struct {
	refusals *prometheus.CounterVec
	waits    *prometheus.HistogramVec
}

// NewMetrics registers the metrics of the gates, which include their current state.
func NewMetrics(reg prometheus.Registerer, gates *Gates) *Metrics {
	m := &Metrics{
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "egretbend_admission_refused_total",
			Help: "Requests refused by the gate of a service, by reason.",
		}, []string{"service", "class", "reason"}),
		waits: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "egretbend_admission_wait_seconds",
			Help:    "Time that admitted requests waited, without those that did not wait.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 12),
		}, []string{"service", "class"}),
	}
	reg.MustRegister(m.refusals, m.waits, &stateCollector{
		gates: gates,
	})
	return m
}

// serviceMetrics are the metrics of one service.
type serviceMetrics struct {
	all     *Metrics
	service string
}

func (m *Metrics) forService(name string) serviceMetrics {
	return serviceMetrics{
		all:     m,
		service: name,
	}
}

func (m serviceMetrics) refused(class Class, reason string) {
	if m.all != nil {
		m.all.refusals.WithLabelValues(m.service, class.String(), reason).Inc()
	}
}

func (m serviceMetrics) waited(class Class, d time.Duration) {
	if m.all != nil {
		m.all.waits.WithLabelValues(m.service, class.String()).Observe(d.Seconds())
	}
}

// stateCollector reads the state of all gates when metrics are scraped.
type stateCollector struct{ gates *Gates }

var (
	waitingDesc = prometheus.NewDesc("egretbend_admission_waiting",
		"Requests that wait at the gate of a service.", []string{"service", "class"}, nil)
	inFlightDesc = prometheus.NewDesc("egretbend_admission_in_flight",
		"Sends of this instance in flight at a service.", []string{"service", "class"}, nil)
	windowDesc = prometheus.NewDesc("egretbend_admission_window",
		"Sends of this instance that may be in flight at a service.", []string{"service", "class"}, nil)
)

// Describe implements prometheus.Collector.
func (c *stateCollector) Describe(ch chan<- *prometheus.Desc) {
	ch <- waitingDesc
	ch <- inFlightDesc
	ch <- windowDesc
}

// Collect implements prometheus.Collector.
func (c *stateCollector) Collect(ch chan<- prometheus.Metric) {
	c.gates.all(func(name string, s *Service) {
		now := s.timer.Now()
		s.mu.Lock()
		defer s.mu.Unlock()
		for class := range Class(classes) {
			labels := []string{name, class.String()}
			ch <- prometheus.MustNewConstMetric(waitingDesc, prometheus.GaugeValue, float64(s.gate.Waiting(class)), labels...)
			ch <- prometheus.MustNewConstMetric(inFlightDesc, prometheus.GaugeValue, float64(s.gate.InFlight(class)), labels...)
			ch <- prometheus.MustNewConstMetric(windowDesc, prometheus.GaugeValue, s.gate.Window(class, now), labels...)
		}
	})
}
