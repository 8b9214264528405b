package runner

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics counts the work on batches; nil counts nothing.
type Metrics struct {
	batches  prometheus.Counter
	attempts *prometheus.CounterVec
	moves    prometheus.Counter
	items    prometheus.Histogram
}

// NewMetrics registers the runner's counters.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		batches: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "egretbend_batches_total",
			Help: "Batches begun or taken over.",
		}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "egretbend_item_attempts_total",
			Help: "Attempts at items by outcome.",
		}, []string{"outcome"}),
		moves: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "egretbend_item_moves_total",
			Help: "Streams moved to another engine.",
		}),
	}
	m.items = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name:    "egretbend_item_seconds",
		Help:    "Time from the beginning of a batch to a finished item.",
		Buckets: prometheus.ExponentialBuckets(0.1, 2, 9),
	})
	reg.MustRegister(m.batches, m.attempts, m.moves, m.items)
	return m
}

func (m *Metrics) begun() {
	if m != nil {
		m.batches.Inc()
	}
}

func (m *Metrics) moved() {
	if m != nil {
		m.moves.Inc()
	}
}

func (m *Metrics) item(age time.Duration) {
	if m != nil {
		m.items.Observe(age.Seconds())
	}
}

func (m *Metrics) attempt(err error) {
	if m == nil {
		return
	}
	outcome := "completed"
	if err != nil {
		outcome = "failed"
	}
	m.attempts.WithLabelValues(outcome).Inc()
}
