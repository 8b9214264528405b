package router

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/egretbend/egretbend/internal/fleet/configuration"
	"github.com/egretbend/egretbend/internal/fleet/version"
	"github.com/egretbend/egretbend/internal/kernel/journal"
	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/fingerprint"
	"github.com/egretbend/egretbend/internal/route/limit"
	"github.com/egretbend/egretbend/internal/route/policy"
	"github.com/egretbend/egretbend/internal/route/retry"
	"github.com/egretbend/egretbend/internal/route/suspect"
	"github.com/egretbend/egretbend/internal/route/upstream"
)

// Router decides for each request whether and where it runs.
type Router struct {
	Table   *upstream.Table
	Holder  *configuration.Holder
	Limiter *limit.Limiter
	Board   *version.Board
	Timer   timer.Service
	Journal *journal.Journal
	Metrics *Metrics
	// Crashes finds out which upstreams end under a request, Suspects tells which requests
	// end them; nil does not.
	Crashes  Crashes
	Suspects Suspects

	budgets sync.Map // of string to *retry.Budget
	usage   sync.Map // of string to *usage
}

// Metrics counts decisions; nil counts nothing.
type Metrics struct {
	Refusals *prometheus.CounterVec
	Attempts *prometheus.CounterVec
	Retries  *prometheus.CounterVec
}

// NewMetrics registers the router's counters.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		v := prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: name,
			Help: help,
		}, labels)
		reg.MustRegister(v)
		return v
	}
	return &Metrics{
		Refusals: counter("egretbend_refusals_total", "Requests refused before any work.", "deployment", "priority"),
		Attempts: counter("egretbend_attempts_total", "Requests sent to an upstream.", "deployment"),
		Retries:  counter("egretbend_retries_total", "Attempts after the first.", "deployment"),
	}
}

// Job is a request that looks for an upstream.
type Job struct {
	RequestID  string
	Caller     string
	Class      limit.Class
	Weight     float64
	Deployment string
	// Key is the hash of the prompt's prefix, or zero.
	Key uint64
	// Staleness applies the deployment's bound on weight versions.
	Staleness bool
	// Lead is how many versions are expected to be published until the result
	// is handed over.
	Lead uint64
	// Share is the share of the deployment that the caller may claim while it
	// is short; zero claims none in particular.
	Share float64
	// Sum returns the digest by which the request is known when it is sent again; nil is
	// for one that is never suspected.
	Sum func() fingerprint.Sum
}

// usage caches the capacity of a set, which takes a pass over all upstreams.
type usage struct {
	mu     sync.Mutex
	at     timer.Instant
	set    *upstream.Set
	slots  float64
	others float64
}

// usageAge is how old a cached capacity may be.
const usageAge = 50 * time.Millisecond

// Enter lets a request in. Errors: problem.NotReady, .UnknownDeployment,
// .NoUpstream, .Overloaded; none of them has run anything.
func (r *Router) Enter(job Job) (*Trip, error) {
	if r.Holder.Current() == nil {
		return nil, problem.NotReady.Withf("no configuration yet").WithRetryAfter(time.Second)
	}
	verdict, err := r.judge(job)
	if err != nil {
		return nil, r.refused(job, err)
	}
	set := r.Table.Set(job.Deployment)
	if set == nil {
		return nil, problem.UnknownDeployment.Withf("no deployment %q", job.Deployment)
	}
	slots, others := r.capacity(job.Deployment, set)
	if slots == 0 {
		return nil, r.refused(job, problem.NoUpstream.Withf("deployment %q has no usable upstream", job.Deployment).
			WithRetryAfter(2*time.Second))
	}
	// Others' part is a moment old, but this instance's own is exact: a burst
	// of work that is given out at once would otherwise see the same free
	// slots again and again.
	_, own := r.Limiter.Limit(job.Deployment)
	pass, err := r.Limiter.Admit(limit.Ask{
		Deployment: job.Deployment,
		Caller:     job.Caller,
		Class:      job.Class,
		Weight:     max(job.Weight, 0.01),
		Capacity:   slots * (1 + set.Deployment.QueueShare),
		Used:       (others + float64(own)) / slots,
		Slots:      slots,
		Share:      job.Share,
	})
	if err != nil {
		return nil, r.refused(job, err)
	}
	find, err := policy.Find(set.Deployment.Policy)
	if err != nil {
		pass.Close(limit.Neutral)
		return nil, problem.Internal.With(err).WithOutcome(problem.NotRun)
	}
	return &Trip{
		Job:     job,
		Set:     set,
		router:  r,
		pass:    pass,
		policy:  find,
		verdict: verdict,
	}, nil
}

func (r *Router) refused(job Job, err error) error {
	if r.Metrics != nil {
		r.Metrics.Refusals.WithLabelValues(job.Deployment, job.Class.String()).Inc()
	}
	r.Journal.Decision("refuse", log.Fields{
		"request_id": job.RequestID,
		"deployment": job.Deployment,
		"priority":   job.Class.String(),
		"reason":     err.Error(),
	})
	return err
}

func (r *Router) capacity(deployment string, set *upstream.Set) (slots, others float64) {
	v, ok := r.usage.Load(deployment)
	if !ok {
		v, _ = r.usage.LoadOrStore(deployment, &usage{})
	}
	c := v.(*usage)
	now := r.Timer.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.set != set || now.Sub(c.at) > usageAge {
		c.set = set
		c.at = now
		c.slots, c.others = set.Capacity(now)
	}
	return c.slots, c.others
}

func (r *Router) budget(deployment string) *retry.Budget {
	if v, ok := r.budgets.Load(deployment); ok {
		return v.(*retry.Budget)
	}
	v, _ := r.budgets.LoadOrStore(deployment, &retry.Budget{})
	return v.(*retry.Budget)
}

// Trip is a request that was let in, on its way over upstreams.
type Trip struct {
	Job Job
	Set *upstream.Set

	router *Router
	pass   *limit.Pass
	policy policy.Policy
	tried  [policy.MaxTried]*upstream.Upstream
	// n counts attempts, avoided the upstreams at the front of tried that were
	// not attempts.
	n       int
	avoided int
	// verdict is what is known of the request, cut how many attempts were cut off.
	verdict suspect.Verdict
	cut     int
}

// Attempts returns how many upstreams were chosen so far.
func (t *Trip) Attempts() int { return t.n }

// Avoid keeps the trip off an upstream, by name. It is called before Next: a
// second attempt beside a slow one is of no use at the same engine.
func (t *Trip) Avoid(id string) {
	if t.avoided >= policy.MaxTried/2 || len(t.Set.Upstreams) <= t.avoided+1 {
		return
	}
	for _, u := range t.Set.Upstreams {
		if u.ID == id {
			t.tried[t.avoided] = u
			t.avoided++
			return
		}
	}
}

// Next chooses an upstream that was not tried yet and counts the request
// there. It returns problem.NoUpstream when there is none.
func (t *Trip) Next() (*upstream.Upstream, error) {
	if t.n >= t.Set.Deployment.Attempts || t.avoided+t.n >= policy.MaxTried {
		return nil, problem.NoUpstream.Withf("all %d attempts of request %s are used", t.n, t.Job.RequestID).
			WithRetryAfter(time.Second)
	}
	choice := t.policy.Choose(t.Set, t.query(t.Job.Lead))
	if choice.Upstream == nil && t.Job.Lead > 0 {
		// While versions move on, no engine may have one that will still be
		// young enough at the hand-over. One that is young enough now is
		// better than none.
		choice = t.policy.Choose(t.Set, t.query(0))
	}
	t.router.logChoice(t, choice)
	if choice.Upstream == nil {
		return nil, problem.NoUpstream.Withf("none of %d upstreams of %q can be used", choice.Candidates, t.Job.Deployment).
			WithRetryAfter(time.Second)
	}
	t.tried[t.avoided+t.n] = choice.Upstream
	t.n++
	choice.Upstream.Begin()
	return choice.Upstream, nil
}

func (t *Trip) query(lead uint64) policy.Query {
	q := policy.Query{
		Random: rand.Uint64(),
		Key:    t.Job.Key,
		Now:    t.router.Timer.Now(),
		Tried:  t.tried,
		Draws:  drawsOf(t.Job.Class),
	}
	if !t.Job.Staleness {
		return q
	}
	newest, oldest, ok := t.Bound(lead)
	if !ok {
		return q
	}
	q.Newest = newest
	q.Oldest = oldest
	q.PreferNewest = t.Set.Deployment.Rounds.Weighting == configuration.WeightStaleness
	return q
}

// Bound returns the newest published version, and the oldest one whose results
// are young enough after lead more versions.
func (t *Trip) Bound(lead uint64) (newest, oldest version.Version, ok bool) {
	p, ok := t.router.Board.Newest(t.Job.Deployment)
	if !ok || !t.Job.Staleness {
		return version.Version{}, version.Version{}, false
	}
	bound := t.Set.Deployment.Staleness.MaxVersions
	oldest = p.Version
	oldest.Number -= min(bound-min(lead, bound), oldest.Number)
	return p.Version, oldest, true
}

// drawsOf returns how many upstreams are compared for a request. A trainer's
// samples all come from one instance, whose own counts are exact; comparing
// more of them keeps long streams from piling up. Callers' requests come from
// all instances, where more than two would draw a herd to a late report.
func drawsOf(c limit.Class) int {
	if c == limit.Training {
		return trainingDraws
	}
	return 2
}

// trainingDraws is how many upstreams are compared for a sample.
const trainingDraws = 5

// MayRetry reports whether the retry budget allows another attempt, and takes
// it from there.
func (t *Trip) MayRetry() bool {
	if t.n >= t.Set.Deployment.Attempts || t.cut > 0 && !t.verdict.MayRepeat(t.cut, 0) {
		return false
	}
	if !t.router.budget(t.Job.Deployment).Take() {
		return false
	}
	if t.router.Metrics != nil {
		t.router.Metrics.Retries.WithLabelValues(t.Job.Deployment).Inc()
	}
	return true
}

// Close ends the trip.
func (t *Trip) Close(r limit.Result) {
	if r == limit.Good {
		t.router.budget(t.Job.Deployment).Earn(t.Set.Deployment.RetryShare)
		t.answered()
	}
	t.pass.Close(r)
}

func (r *Router) logChoice(t *Trip, c policy.Choice) {
	if r.Metrics != nil {
		r.Metrics.Attempts.WithLabelValues(t.Job.Deployment).Inc()
	}
	if r.Journal == nil {
		return
	}
	chosen, load := "", 0.0
	if c.Upstream != nil {
		chosen = c.Upstream.ID
		load = c.Upstream.Load(r.Timer.Now())
	}
	r.Journal.Decision("route", log.Fields{
		"request_id": t.Job.RequestID,
		"attempt":    t.n + 1,
		"deployment": t.Job.Deployment,
		"priority":   t.Job.Class.String(),
		"chosen":     chosen,
		"candidates": c.Candidates,
		"of":         t.Set.Total,
		"load":       strconv.FormatFloat(load, 'f', 2, 64),
		"reason":     string(c.Reason),
	})
}
