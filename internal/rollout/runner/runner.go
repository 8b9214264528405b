package runner

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"
	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/fleet/configuration"
	"github.com/egretbend/egretbend/internal/fleet/member"
	"github.com/egretbend/egretbend/internal/fleet/peer"
	"github.com/egretbend/egretbend/internal/fleet/version"
	"github.com/egretbend/egretbend/internal/kernel/journal"
	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/rollout/copystore"
	"github.com/egretbend/egretbend/internal/rollout/demand"
	"github.com/egretbend/egretbend/internal/rollout/session"
	"github.com/egretbend/egretbend/internal/rollout/stream"
)

// Runner runs the open sessions of this instance.
type Runner struct {
	Generator     *stream.Generator
	CopyStore     *copystore.Store
	Client        *peer.Client
	Configuration *configuration.Holder
	Versions      *version.Table
	Demand        *demand.Table
	Members       *member.Table
	Timer         timer.Service
	Journal       *journal.Journal
	Metrics       *Metrics
	// Tomb runs the goroutines of all sessions.
	Tomb *tomb.Tomb

	mu sync.Mutex
	// sessions holds the latest session of each trainer.
	sessions map[string]*openSession
}

// Metrics counts attempts and samples. A nil Metrics counts nothing.
type Metrics struct {
	Samples   *prometheus.CounterVec
	Staleness prometheus.Histogram
	Copied    prometheus.Counter
}

// Values of the label "fate".
const (
	// fateFinished is a sample that became ready for delivery.
	fateFinished = "finished"
	// fateBeaten is an attempt whose result was not needed, because another
	// one finished first or the step was dropped.
	fateBeaten = "beaten"
	// fateDiscarded is a finished sample that was too old to be delivered.
	fateDiscarded = "discarded"
	// fateFailed is an attempt that ended without a sample.
	fateFailed = "failed"
	// fateRecovered is a sample recovered from the copy of an earlier session.
	fateRecovered = "recovered"
	// fateUncopied is a sample that no other instance took a copy of.
	fateUncopied = "uncopied"
)

// NewMetrics registers the runner's metrics.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		Samples: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "egretbend_samples_total",
			Help: "Attempts at samples by what became of them.",
		}, []string{"fate"}),
		Staleness: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "egretbend_staleness_versions",
			Help:    "Versions between a sample's oldest and the newest published one at hand-over.",
			Buckets: []float64{0, 1, 2, 3, 4, 6, 8, 16},
		}),
		Copied: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "egretbend_copied_bytes_total",
			Help: "Bytes of finished samples that were copied to other instances.",
		}),
	}
	reg.MustRegister(m.Samples, m.Staleness, m.Copied)
	return m
}

func (m *Metrics) count(fate string) {
	if m != nil {
		m.Samples.WithLabelValues(fate).Inc()
	}
}

func (m *Metrics) addCopiedBytes(bytes int) {
	if m != nil {
		m.Copied.Add(float64(bytes))
	}
}

func (m *Metrics) observeStaleness(versions uint64) {
	if m != nil {
		m.Staleness.Observe(float64(versions))
	}
}

// Open opens a session and ends the trainer's earlier one on this instance. It
// returns problem.SessionFenced if this instance knows a session of the trainer
// with a higher number. Opening the same session again changes nothing.
func (r *Runner) Open(trainer string, number uint64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if number == 0 {
		return problem.BadRequest.Withf("session: expected a number of at least 1")
	}
	old, ok := r.sessions[trainer]
	if ok && number < old.state.Number {
		return problem.SessionFenced.Withf("session %d of trainer %q is open", old.state.Number, trainer)
	}
	if ok && number == old.state.Number {
		return nil
	}
	if ok {
		old.stop()
	}
	if r.sessions == nil {
		r.sessions = make(map[string]*openSession)
	}
	o := newOpenSession(r, trainer, number)
	r.sessions[trainer] = o
	r.Tomb.Go(o.run)
	r.Journal.Info("session_open", log.Fields{
		"trainer": trainer,
		"session": number,
	})
	return nil
}

// findSession returns an open session, or an error that tells whether the
// session is fenced or unknown here.
func (r *Runner) findSession(trainer string, number uint64) (*openSession, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o, ok := r.sessions[trainer]
	switch {
	case !ok:
		return nil, problem.SessionUnknown.Withf("no session of trainer %q is open here", trainer)
	case number < o.state.Number, number == o.state.Number && o.fenced():
		return nil, problem.SessionFenced.Withf("a session above %d of trainer %q was opened", number, trainer)
	case number > o.state.Number:
		return nil, problem.SessionUnknown.Withf("session %d of trainer %q is not open here", number, trainer)
	}
	return o, nil
}

// Submit adds a step to a session and recovers those of its samples that other
// instances hold copies of.
func (r *Runner) Submit(ctx context.Context, trainer string, number uint64, spec session.Spec) (session.Status, error) {
	o, err := r.findSession(trainer, number)
	if err != nil {
		return session.Status{}, err
	}
	d, err := r.deployment(spec.Deployment)
	if err != nil {
		return session.Status{}, err
	}
	if d.Kind != configuration.KindModel {
		return session.Status{}, problem.UnknownDeployment.Withf("deployment %q is not a model", spec.Deployment)
	}
	if err := spec.Check(); err != nil {
		return session.Status{}, err
	}
	copies, fenced := r.gatherCopies(ctx, trainer, number, spec.Step)
	if fenced {
		o.fence()
		return session.Status{}, problem.SessionFenced.Withf("a session above %d of trainer %q was opened elsewhere", number, trainer)
	}
	return o.submit(spec, time.Duration(d.Rounds.DropAfterMS)*time.Millisecond, copies)
}

// ReadArgs are the arguments of a trainer's read.
type ReadArgs struct {
	Session uint64 `json:"session"`
	Cursor  uint64 `json:"cursor"`
	// Max is the largest number of entries to return.
	Max int `json:"max"`
	// WaitMS is how long to wait for a sample, in milliseconds.
	WaitMS int64 `json:"wait_ms"`
	// Newest is the newest version that the trainer has published for each
	// deployment. It may be newer than what gossip has delivered to this
	// instance.
	Newest map[string]version.Version `json:"newest,omitempty"`
}

// Limits of a read.
const (
	// maxRead is the largest number of entries.
	maxRead = 4096
	// maxReadWait is the longest time that a read waits for a sample.
	maxReadWait = 30 * time.Second
)

// Read returns the batch at a trainer's cursor. If there is none, it waits for
// one for at most the time in args.
func (r *Runner) Read(ctx context.Context, trainer string, args ReadArgs) (session.Batch, error) {
	if args.Max < 1 || args.Max > maxRead {
		return session.Batch{}, problem.BadRequest.Withf("max: expected 1 to %d, got %d", maxRead, args.Max)
	}
	o, err := r.findSession(trainer, args.Session)
	if err != nil {
		return session.Batch{}, err
	}
	return o.read(ctx, args)
}

// deployment returns the configuration of a deployment.
func (r *Runner) deployment(name string) (configuration.Deployment, error) {
	doc := r.Configuration.Current()
	if doc == nil {
		return configuration.Deployment{}, problem.NotReady.Withf("no configuration yet").WithRetryAfter(time.Second)
	}
	d, ok := doc.Parsed().Deployment(name)
	if !ok {
		return configuration.Deployment{}, problem.UnknownDeployment.Withf("no deployment %q", name)
	}
	return d, nil
}

// stalenessBound returns the current staleness bound of a deployment's samples.
// The versions in published may be newer than those in r.Versions.
func (r *Runner) stalenessBound(name string, published map[string]version.Version) session.StalenessBound {
	d, _ := r.deployment(name)
	p, _ := r.Versions.Newest(name)
	newest := p.Version
	if v, ok := published[name]; ok && newest.Less(v) {
		newest = v
	}
	return session.StalenessBound{
		Newest:      newest,
		MaxVersions: d.Staleness.MaxVersions,
		MaxAge:      time.Duration(d.Staleness.MaxAgeMS) * time.Millisecond,
	}
}

// Overview is the state of a session as shown to operators.
type Overview struct {
	Trainer string           `json:"trainer"`
	Session uint64           `json:"session"`
	Fenced  bool             `json:"fenced"`
	Steps   []session.Status `json:"steps"`
}

// Sessions returns an overview of each session on this instance.
func (r *Runner) Sessions() []Overview {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Overview, 0, len(r.sessions))
	for _, o := range r.sessions {
		list = append(list, o.overview())
	}
	return list
}

// Drain makes waiting reads return at once, so that trainers can continue on
// another instance.
func (r *Runner) Drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range r.sessions {
		o.drain()
	}
}
