package runner

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics counts the work on batches. A nil Metrics counts nothing.
type Metrics struct {
	batches  prometheus.Counter
	attempts *prometheus.CounterVec
	moves    *prometheus.CounterVec
	items    prometheus.Histogram
	lent     prometheus.Gauge
	tooLarge prometheus.Gauge
	waiting  prometheus.Gauge
	placed   *prometheus.CounterVec
	refused  *prometheus.CounterVec
}

// NewMetrics creates and registers the runner's metrics.
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
		moves: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "egretbend_item_moves_total",
			Help: "Streams moved to another engine by reason: stalled, slow, faster or region.",
		}, []string{"reason"}),
	}
	m.lent = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "egretbend_engines_lent",
		Help: "Engines of other models that run items of this instance's crowded steps.",
	})
	m.items = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name:    "egretbend_item_seconds",
		Help:    "Time from the beginning of a batch to a finished item.",
		Buckets: prometheus.ExponentialBuckets(0.1, 2, 9),
	})
	m.tooLarge = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "egretbend_items_too_large",
		Help: "Unfinished items that engines refused and whose prompt and largest output exceed the memory of every engine.",
	})
	m.placed = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "egretbend_item_placements_total",
		Help: "Attempts at items of a group by prompt: the engine had read it (warm), no engine had (first), or another engine had (again).",
	}, []string{"prompt"})
	m.waiting = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "egretbend_items_waiting_for_memory",
		Help: "Items that wait because no engine has memory for them.",
	})
	m.refused = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "egretbend_batches_refused_total",
		Help: "Batches refused because of the regions in which they may run, by reason.",
	}, []string{"reason"})
	reg.MustRegister(m.refused, m.batches, m.attempts, m.moves, m.items, m.tooLarge, m.waiting, m.placed, m.lent)
	return m
}

func (m *Metrics) batchStarted() {
	if m != nil {
		m.batches.Inc()
	}
}

func (m *Metrics) batchRefused(reason string) {
	if m != nil {
		m.refused.WithLabelValues(reason).Inc()
	}
}

func (m *Metrics) setLent(engines int) {
	if m != nil {
		m.lent.Set(float64(engines))
	}
}

func (m *Metrics) itemMoved(reason string) {
	if m != nil {
		m.moves.WithLabelValues(reason).Inc()
	}
}

func (m *Metrics) itemFinished(age time.Duration) {
	if m != nil {
		m.items.Observe(age.Seconds())
	}
}

func (m *Metrics) itemPlaced(prompt string) {
	if m != nil {
		m.placed.WithLabelValues(prompt).Inc()
	}
}

func (m *Metrics) setItemsHeldBack(tooLarge, waiting int) {
	if m != nil {
		m.tooLarge.Set(float64(tooLarge))
		m.waiting.Set(float64(waiting))
	}
}

func (m *Metrics) countAttempt(err error) {
	if m == nil {
		return
	}
	outcome := "completed"
	if err != nil {
		outcome = "failed"
	}
	m.attempts.WithLabelValues(outcome).Inc()
}
