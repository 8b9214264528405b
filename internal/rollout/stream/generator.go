package stream

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/egretbend/egretbend/internal/fleet/configuration"
	"github.com/egretbend/egretbend/internal/fleet/version"
	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/engine"
	"github.com/egretbend/egretbend/internal/route/fingerprint"
	"github.com/egretbend/egretbend/internal/route/limit"
	"github.com/egretbend/egretbend/internal/route/router"
	"github.com/egretbend/egretbend/internal/route/upstream"
)

// prefixLength is how much of a prompt decides where its cache lies.
const prefixLength = 256

// Generator runs generations.
type Generator struct {
	Router *router.Router
	Engine engine.Adapter
	Timer  timer.Service
}

// Task is one generation.
type Task struct {
	RequestID  string
	Caller     string
	Class      limit.Class
	Weight     float64
	Deployment string
	Prompt     string
	MaxTokens  int
	Seed       uint64
	// Resume holds tokens of an earlier attempt, which are not emitted again.
	Resume []string
	// Staleness applies the deployment's bound on weight versions.
	Staleness bool
	// Lead is how many versions are expected to be published until the result
	// is handed over.
	Lead uint64
	// Share is the share of the deployment that the caller may claim while it
	// is short; zero claims none in particular.
	Share float64
	// Avoid names the upstreams of attempts that run beside this one.
	Avoid []string
	// Chosen is told of each upstream that is chosen; nil tells nobody.
	Chosen func(upstream string)
}

// sum returns the digest by which the generation is known when it is asked for again.
func (t *Task) sum() fingerprint.Sum {
	return fingerprint.Of(fingerprint.Parts{
		Organisation: t.Caller,
		Host:         t.Deployment,
		Body:         []byte(t.Prompt),
	})
}

// Finish says how a generation ended and where it ran.
type Finish struct {
	Reason    string
	Upstreams []string
}

// Enter lets a generation in, or refuses it at once. The trip is given to Run,
// or closed.
func (g *Generator) Enter(task Task) (*router.Trip, error) {
	job := router.Job{
		RequestID:  task.RequestID,
		Caller:     task.Caller,
		Class:      task.Class,
		Weight:     task.Weight,
		Deployment: task.Deployment,
		Key:        prefixKey(task.Prompt),
		Staleness:  task.Staleness,
		Lead:       task.Lead,
		Share:      task.Share,
	}
	if task.Class != limit.Training {
		job.Sum = task.sum
	}
	trip, err := g.Router.Enter(job)
	if err != nil {
		return nil, err
	}
	if trip.Set.Deployment.Kind != configuration.KindModel {
		trip.Close(limit.Neutral)
		return nil, problem.UnknownDeployment.Withf("deployment %q is not a model", task.Deployment)
	}
	return trip, nil
}

// Run generates until the end of the stream. ctx carries the deadline.
func (g *Generator) Run(ctx context.Context, trip *router.Trip, task Task, emit func(engine.Token) error) (Finish, error) {
	r := &run{
		g:     g,
		trip:  trip,
		task:  task,
		texts: append([]string(nil), task.Resume...),
		emit:  emit,
	}
	for _, id := range task.Avoid {
		trip.Avoid(id)
	}
	finish, err := r.attempts(ctx)
	trip.Close(r.result(err))
	return finish, err
}

func prefixKey(prompt string) uint64 {
	if len(prompt) > prefixLength {
		prompt = prompt[:prefixLength]
	}
	return xxhash.Sum64String(prompt) | 1
}

// run is one generation over its attempts.
type run struct {
	g      *Generator
	trip   *router.Trip
	task   Task
	texts  []string
	emit   func(engine.Token) error
	pushed bool
	began  bool
	where  []string
	// version is that of the last token.
	version version.Version
}

func (r *run) attempts(ctx context.Context) (Finish, error) {
	var last error
	for {
		u, err := r.trip.Next()
		if err != nil {
			return Finish{}, r.final(err, last)
		}
		if r.task.Chosen != nil {
			r.task.Chosen(u.ID)
		}
		reason, err := r.once(ctx, u)
		if err == nil {
			return Finish{
				Reason:    reason,
				Upstreams: r.where,
			}, nil
		}
		last = err
		if errors.Is(err, errStale) {
			continue
		}
		if ctx.Err() != nil || errors.Is(err, errConsumer) || !r.trip.MayRetry() {
			return Finish{}, r.final(nil, last)
		}
	}
}

// errStale ends an attempt at the first token of a version that is too old to
// be handed over. It comes from an engine that restarted with old weights; to
// learn of that only from its next report, or at the hand-over, would waste
// the whole stream and have the sample made again when its step is nearly
// whole. It costs no retry: nothing was done yet.
var errStale = errors.New("the engine's weights are too old")

// errConsumer wraps an error of the consumer of the tokens. It is no fault of
// the engine and no reason to try another.
var errConsumer = errors.New("the consumer of the stream failed")

// once makes one attempt from the last token on.
func (r *run) once(ctx context.Context, u *upstream.Upstream) (string, error) {
	started := r.g.Timer.Now()
	before := len(r.texts)
	r.version = version.Version{}
	r.where = append(r.where, u.ID)
	finish, err := r.g.Engine.Generate(ctx, u.Address, engine.Request{
		ID:        r.task.RequestID,
		Attempt:   r.task.RequestID + "." + strconv.Itoa(r.trip.Attempts()),
		Model:     r.task.Deployment,
		Prompt:    r.task.Prompt,
		MaxTokens: r.task.MaxTokens,
		Seed:      r.task.Seed,
		Priority:  r.task.Class.EnginePriority(),
		Resume:    r.texts,
	}, func(t engine.Token) error { return r.take(u, t) })
	now := r.g.Timer.Now()
	tokens := len(r.texts) - before
	if finish.Report != nil {
		u.Heard(*finish.Report, now)
	}
	r.note(ctx, u, err, now.Sub(started), tokens, now)
	return finish.Reason, err
}

func (r *run) take(u *upstream.Upstream, t engine.Token) error {
	if t.Version != r.version || t.Index == 0 {
		r.version = t.Version
		u.SawVersion(t.Version)
		if _, oldest, ok := r.trip.Bound(0); ok && t.Version.Less(oldest) {
			return errStale
		}
	}
	if err := r.emit(t); err != nil {
		return errors.Join(errConsumer, err)
	}
	r.began = true
	r.texts = append(r.texts, t.Text)
	return nil
}

// note tells the upstream's state how the attempt went.
func (r *run) note(ctx context.Context, u *upstream.Upstream, err error, took time.Duration, tokens int, now timer.Instant) {
	var refused *engine.RefusedError
	switch {
	case err == nil:
		u.Succeeded(took / time.Duration(max(1, tokens)))
	case errors.As(err, &refused):
		r.pushed = true
		u.Ended()
	case ctx.Err() != nil, errors.Is(err, errConsumer), errors.Is(err, errStale):
		u.Ended()
	default:
		if !errors.Is(err, engine.ErrNotSent) {
			r.began = true
		}
		if errors.Is(err, engine.ErrBroken) {
			r.trip.CutOff(u)
		}
		u.Failed(now)
	}
}

func (r *run) result(err error) limit.Result {
	switch {
	case err == nil:
		return limit.Good
	case r.pushed:
		return limit.Pushed
	}
	return limit.Neutral
}

// final is the error for the caller. A generation may always be repeated, so
// what matters is only whether it can be said that none of it ran.
func (r *run) final(choice, last error) error {
	if last == nil {
		return choice
	}
	var refused *engine.RefusedError
	kind := problem.UpstreamFailed
	switch {
	case errors.As(last, &refused), errors.Is(last, engine.ErrNotSent):
		kind = problem.UpstreamRefused
	case errors.Is(last, context.DeadlineExceeded):
		kind = problem.UpstreamTimeout
	}
	e := kind.With(last)
	if r.began {
		e = e.WithOutcome(problem.Unknown)
	}
	if e.Kind.Status >= http.StatusInternalServerError {
		e = e.WithRetryAfter(time.Second)
	}
	return e
}
