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
	"github.com/egretbend/egretbend/internal/route/poison"
	"github.com/egretbend/egretbend/internal/route/policy"
	"github.com/egretbend/egretbend/internal/route/retry"
	"github.com/egretbend/egretbend/internal/route/upstream"
)

// Router admits requests and chooses the upstreams that run them.
type Router struct {
	Table         *upstream.Table
	Configuration *configuration.Holder
	Limiter       *limit.Limiter
	Versions      *version.Table
	Timer         timer.Service
	Journal       *journal.Journal
	Metrics       *Metrics
	// CrashReporter checks whether an upstream crashed when an attempt was cut off,
	// PoisonDetector detects poison requests. Each may be nil, which disables it.
	CrashReporter  CrashReporter
	PoisonDetector PoisonDetector

	budgets    sync.Map // deployment name to *retry.Budget
	capacities sync.Map // deployment name to *capacityCache
}

// Metrics holds the router's counters. A nil *Metrics counts nothing.
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

// Request describes a request to be admitted and sent to an upstream.
type Request struct {
	RequestID  string
	Caller     string
	Priority   limit.Priority
	Weight     float64
	Deployment string
	// Organisation is the organisation whose allowed regions apply; it may be empty.
	Organisation string
	// PrefixHash is the hash of the prompt's prefix, for prefix affinity; zero if there is
	// none.
	PrefixHash uint64
	// BoundStaleness enables the deployment's bound on the age of weight versions.
	BoundStaleness bool
	// VersionLead is how many weight versions are expected to be published before the
	// result is delivered.
	VersionLead uint64
	// ClaimedShare is the share of the deployment that the caller may claim while slots
	// are scarce; zero means no particular share.
	ClaimedShare float64
	// Digest returns the digest that identifies the request when it is sent again. If it
	// is nil, the request is never suspected of crashing upstreams.
	Digest func() fingerprint.Digest
}

// capacityCache holds the last computed capacity of a set, since computing it visits
// every upstream.
type capacityCache struct {
	mu         sync.Mutex
	computedAt timer.Instant
	set        *upstream.Set
	slots      float64
	others     float64
}

// capacityMaxAge is the age after which a cached capacity is recomputed.
const capacityMaxAge = 50 * time.Millisecond

// Admit admits a request. It returns problem.NotReady, problem.UnknownDeployment,
// problem.NoUpstream, problem.Overloaded, problem.Quarantined, problem.RegionsEmpty,
// problem.RegionUnavailable or problem.Internal;
// with any of them nothing has run.
func (r *Router) Admit(req Request) (*Dispatch, error) {
	if r.Configuration.Current() == nil {
		return nil, problem.NotReady.Withf("no configuration yet").WithRetryAfter(time.Second)
	}
	verdict, err := r.checkQuarantine(req)
	if err != nil {
		return nil, r.recordRefusal(req, err)
	}
	set := r.Table.Set(req.Deployment)
	if set == nil {
		return nil, problem.UnknownDeployment.Withf("no deployment %q", req.Deployment)
	}
	set, err = r.allowedPart(req, set)
	if err != nil {
		return nil, r.recordRefusal(req, err)
	}
	slots, others := r.capacity(req.Deployment, set)
	if slots == 0 {
		return nil, r.recordRefusal(req, problem.NoUpstream.Withf("deployment %q has no usable upstream", req.Deployment).
			WithRetryAfter(2*time.Second))
	}
	// The load of other instances may be slightly outdated, but this instance's own
	// count is exact: with a cached count, every request of a burst would see the
	// same free slots.
	_, ownInFlight := r.Limiter.Limit(req.Deployment)
	permit, err := r.Limiter.Admit(limit.Request{
		Deployment:   req.Deployment,
		Caller:       req.Caller,
		Priority:     req.Priority,
		Weight:       max(req.Weight, 0.01),
		Capacity:     slots * (1 + set.Deployment.QueueShare),
		Usage:        (others + float64(ownInFlight)) / slots,
		Slots:        slots,
		ClaimedShare: req.ClaimedShare,
	})
	if err != nil {
		return nil, r.recordRefusal(req, err)
	}
	selected, err := policy.Find(set.Deployment.Policy)
	if err != nil {
		permit.Release(limit.Ignored)
		return nil, problem.Internal.With(err).WithOutcome(problem.NotRun)
	}
	return &Dispatch{
		Request: req,
		Set:     set,
		router:  r,
		permit:  permit,
		policy:  selected,
		verdict: verdict,
	}, nil
}

// recordRefusal counts and logs a refused request and returns err.
func (r *Router) recordRefusal(req Request, err error) error {
	if r.Metrics != nil {
		r.Metrics.Refusals.WithLabelValues(req.Deployment, req.Priority.String()).Inc()
	}
	fields := log.Fields{
		"request_id": req.RequestID,
		"deployment": req.Deployment,
		"priority":   req.Priority.String(),
		"reason":     err.Error(),
	}
	if regions := r.allowedRegions(req); regions.Restricted() {
		fields["regions"] = regions.String()
	}
	r.Journal.Decision("refuse", fields)
	return err
}

// capacity returns the slots of a deployment's usable upstreams and how many of them
// requests of other instances occupy. The result may be as old as capacityMaxAge.
func (r *Router) capacity(deployment string, set *upstream.Set) (slots, others float64) {
	v, ok := r.capacities.Load(deployment)
	if !ok {
		v, _ = r.capacities.LoadOrStore(deployment, &capacityCache{})
	}
	c := v.(*capacityCache)
	now := r.Timer.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.set != set || now.Sub(c.computedAt) > capacityMaxAge {
		c.set = set
		c.computedAt = now
		c.slots, c.others = set.Capacity(now)
	}
	return c.slots, c.others
}

// retryBudget returns the retry budget of a deployment.
func (r *Router) retryBudget(deployment string) *retry.Budget {
	if v, ok := r.budgets.Load(deployment); ok {
		return v.(*retry.Budget)
	}
	v, _ := r.budgets.LoadOrStore(deployment, &retry.Budget{})
	return v.(*retry.Budget)
}

// Dispatch is an admitted request. It chooses the upstream for each attempt and must be
// closed once.
type Dispatch struct {
	Request Request
	Set     *upstream.Set

	router *Router
	permit *limit.Permit
	policy policy.Policy
	tried  [policy.MaxTried]*upstream.Upstream
	// attempts counts the upstreams chosen so far. The first excluded entries of
	// tried were set by Exclude and are not attempts.
	attempts int
	excluded int
	// verdict tells whether the request is suspected of crashing upstreams.
	// cutAttempts counts this dispatch's attempts that were cut off.
	verdict     poison.Verdict
	cutAttempts int
}

// Attempts returns how many upstreams were chosen so far.
func (d *Dispatch) Attempts() int { return d.attempts }

// Exclude excludes the upstream with the given ID from the choice. It must be called
// before NextUpstream. It is for a second attempt beside a slow one, which is of no use
// at the same engine. Exclude does nothing if no other upstream would be left, or if
// policy.MaxTried/2 upstreams are excluded already.
func (d *Dispatch) Exclude(id string) {
	if d.excluded >= policy.MaxTried/2 || len(d.Set.Upstreams) <= d.excluded+1 {
		return
	}
	for _, u := range d.Set.Upstreams {
		if u.ID == id {
			d.tried[d.excluded] = u
			d.excluded++
			return
		}
	}
}

// NextUpstream chooses an upstream that was not tried yet and counts the request as in
// flight there. It returns problem.NoUpstream if there is none or all attempts are used.
func (d *Dispatch) NextUpstream() (*upstream.Upstream, error) {
	if d.attempts >= d.Set.Deployment.Attempts || d.excluded+d.attempts >= policy.MaxTried {
		return nil, problem.NoUpstream.Withf("all %d attempts of request %s have been used", d.attempts, d.Request.RequestID).
			WithRetryAfter(time.Second)
	}
	if err := d.updateRegions(); err != nil {
		return nil, err
	}
	choice := d.policy.Choose(d.Set, d.query(d.Request.VersionLead))
	if choice.Upstream == nil && d.Request.VersionLead > 0 {
		// While new versions are being published, possibly no engine has a version
		// that will still be recent enough on delivery. Fall back to one that is
		// recent enough now.
		choice = d.policy.Choose(d.Set, d.query(0))
	}
	d.router.logChoice(d, choice)
	if choice.Upstream == nil {
		return nil, problem.NoUpstream.Withf("none of the %d upstreams of %q is usable", choice.Candidates, d.Request.Deployment).
			WithRetryAfter(time.Second)
	}
	d.tried[d.excluded+d.attempts] = choice.Upstream
	d.attempts++
	choice.Upstream.Begin()
	return choice.Upstream, nil
}

// query returns the policy query for the next attempt. It requires a weight version that
// is still within the staleness bound after lead more versions.
func (d *Dispatch) query(lead uint64) policy.Query {
	q := policy.Query{
		Random:     rand.Uint64(),
		PrefixHash: d.Request.PrefixHash,
		Now:        d.router.Timer.Now(),
		Tried:      d.tried,
		Choices:    choicesFor(d.Request.Priority),
	}
	if !d.Request.BoundStaleness {
		return q
	}
	newest, oldest, ok := d.VersionBounds(lead)
	if !ok {
		return q
	}
	q.Newest = newest
	q.Oldest = oldest
	q.PreferNewest = d.Set.Deployment.Rounds.Weighting == configuration.WeightStaleness
	return q
}

// VersionBounds returns the newest published version and the oldest version whose
// results are still within the staleness bound after lead more versions. ok is false if
// the request has no staleness bound or no version is published.
func (d *Dispatch) VersionBounds(lead uint64) (newest, oldest version.Version, ok bool) {
	p, ok := d.router.Versions.Newest(d.Request.Deployment)
	if !ok || !d.Request.BoundStaleness {
		return version.Version{}, version.Version{}, false
	}
	bound := d.Set.Deployment.Staleness.MaxVersions
	oldest = p.Version
	oldest.Number -= min(bound-min(lead, bound), oldest.Number)
	return p.Version, oldest, true
}

// choicesFor returns how many upstreams are compared for a request. All samples of a
// trainer are sent by one instance, whose own counts are exact, so comparing more
// upstreams keeps long streams from piling up. Callers' requests are sent by all
// instances: with more than two choices, they would all pick the upstream whose
// outdated report shows little load.
func choicesFor(c limit.Priority) int {
	if c == limit.Training {
		return trainingChoices
	}
	return 2
}

// trainingChoices is how many upstreams are compared for a trainer's sample.
const trainingChoices = 5

// MayRetry reports whether another attempt is allowed by the deployment's maximum number
// of attempts, the verdict on the request and the retry budget. If so, it takes the
// retry from the budget.
func (d *Dispatch) MayRetry() bool {
	if d.attempts >= d.Set.Deployment.Attempts || d.cutAttempts > 0 && !d.verdict.MayRetry(d.cutAttempts, 0) {
		return false
	}
	if !d.router.retryBudget(d.Request.Deployment).Withdraw() {
		return false
	}
	if d.router.Metrics != nil {
		d.router.Metrics.Retries.WithLabelValues(d.Request.Deployment).Inc()
	}
	return true
}

// Close ends the dispatch and releases its permit. A request that succeeded also adds to
// the retry budget and is cleared of suspicion.
func (d *Dispatch) Close(r limit.Result) {
	if r == limit.Succeeded {
		d.router.retryBudget(d.Request.Deployment).Deposit(d.Set.Deployment.RetryShare)
		d.clearSuspicion()
	}
	d.permit.Release(r)
}

// logChoice counts an attempt and logs the choice of its upstream.
func (r *Router) logChoice(d *Dispatch, c policy.Choice) {
	if r.Metrics != nil {
		r.Metrics.Attempts.WithLabelValues(d.Request.Deployment).Inc()
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
		"request_id": d.Request.RequestID,
		"attempt":    d.attempts + 1,
		"deployment": d.Request.Deployment,
		"priority":   d.Request.Priority.String(),
		"chosen":     chosen,
		"candidates": c.Candidates,
		"of":         d.Set.Total,
		"load":       strconv.FormatFloat(load, 'f', 2, 64),
		"reason":     string(c.Reason),
	})
}
