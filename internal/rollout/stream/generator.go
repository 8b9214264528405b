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

// maxPrefixBytes is the length, in bytes, of the prompt prefix whose hash selects
// the upstream that may have it cached.
const maxPrefixBytes = 256

// Generator runs generations on the upstreams that its Router chooses.
type Generator struct {
	Router *router.Router
	Engine engine.Adapter
	Timer  timer.Service
}

// Task describes a generation.
type Task struct {
	RequestID  string
	Caller     string
	Priority   limit.Priority
	Weight     float64
	Deployment string
	// Organisation is the organisation whose allowed regions apply; it may be empty.
	Organisation string
	Prompt       string
	MaxTokens    int
	Seed         uint64
	// Resume holds the tokens of an earlier attempt. The generation continues
	// after them and does not emit them again.
	Resume []string
	// BoundStaleness applies the deployment's bound on weight versions.
	BoundStaleness bool
	// VersionLead is the number of versions that are expected to be published before
	// the result is delivered.
	VersionLead uint64
	// ClaimedShare is the share of the deployment that the caller may claim while its
	// capacity is short; zero claims no particular share.
	ClaimedShare float64
	// Avoid lists the IDs of upstreams that run other attempts at the same
	// result.
	Avoid []string
	// OnChosen, if not nil, is called with the ID of each upstream that is chosen.
	OnChosen func(upstream string)
}

// digest returns the fingerprint that identifies the generation when it is
// requested again.
func (t *Task) digest() fingerprint.Digest {
	return fingerprint.DigestOf(fingerprint.Parts{
		Organisation: t.Caller,
		Host:         t.Deployment,
		Body:         []byte(t.Prompt),
	})
}

// Result describes how a generation ended and where it ran.
type Result struct {
	// Reason is the finish reason that the engine reported.
	Reason string
	// Upstreams lists the IDs of the upstreams of all attempts, in order.
	Upstreams []string
}

// Admit admits a generation, or refuses it at once. The caller passes the Dispatch
// to Run or closes it.
func (g *Generator) Admit(task Task) (*router.Dispatch, error) {
	request := router.Request{
		RequestID:      task.RequestID,
		Caller:         task.Caller,
		Priority:       task.Priority,
		Weight:         task.Weight,
		Deployment:     task.Deployment,
		Organisation:   task.Organisation,
		PrefixHash:     prefixHash(task.Prompt),
		BoundStaleness: task.BoundStaleness,
		VersionLead:    task.VersionLead,
		ClaimedShare:   task.ClaimedShare,
	}
	if task.Priority != limit.Training {
		request.Digest = task.digest
	}
	dispatch, err := g.Router.Admit(request)
	if err != nil {
		return nil, err
	}
	if dispatch.Set.Deployment.Kind != configuration.KindModel {
		dispatch.Close(limit.Ignored)
		return nil, problem.UnknownDeployment.Withf("deployment %q is not a model", task.Deployment)
	}
	return dispatch, nil
}

// Run generates to the end of the stream, passes each new token to emit, and
// closes dispatch. The deadline is that of ctx.
func (g *Generator) Run(ctx context.Context, dispatch *router.Dispatch, task Task, emit func(engine.Token) error) (Result, error) {
	gen := &generation{
		generator:  g,
		dispatch:   dispatch,
		task:       task,
		tokenTexts: append([]string(nil), task.Resume...),
		emit:       emit,
	}
	for _, id := range task.Avoid {
		dispatch.Exclude(id)
	}
	result, err := gen.runAttempts(ctx)
	dispatch.Close(gen.limitResult(err))
	return result, err
}

// prefixHash returns the hash of the prompt's prefix. It is never zero, which
// would mean that there is none.
func prefixHash(prompt string) uint64 {
	if len(prompt) > maxPrefixBytes {
		prompt = prompt[:maxPrefixBytes]
	}
	return xxhash.Sum64String(prompt) | 1
}

// generation is the state of a generation during its attempts.
type generation struct {
	generator *Generator
	dispatch  *router.Dispatch
	task      Task
	// tokenTexts holds the texts of all tokens so far, resumed ones included.
	tokenTexts []string
	emit       func(engine.Token) error
	// wasRefused is set when an upstream refused an attempt.
	wasRefused bool
	// mayHaveRun is set when an engine generated tokens or may have.
	mayHaveRun bool
	// upstreams lists the IDs of the upstreams of all attempts.
	upstreams []string
	// version is that of the last token.
	version version.Version
}

// runAttempts makes attempts until one reaches the end of the stream or no other
// may be made.
func (g *generation) runAttempts(ctx context.Context) (Result, error) {
	var lastErr error
	for {
		u, err := g.dispatch.NextUpstream()
		if err != nil {
			return Result{}, g.finalError(err, lastErr)
		}
		if g.task.OnChosen != nil {
			g.task.OnChosen(u.ID)
		}
		reason, err := g.attempt(ctx, u)
		if err == nil {
			return Result{
				Reason:    reason,
				Upstreams: g.upstreams,
			}, nil
		}
		lastErr = err
		if errors.Is(err, errStaleVersion) {
			continue
		}
		if ctx.Err() != nil || errors.Is(err, errConsumer) || !g.dispatch.MayRetry() {
			return Result{}, g.finalError(nil, lastErr)
		}
	}
}

// errStaleVersion ends an attempt at the first token of a version that is too old
// to be delivered, as from an engine that restarted with old weights. Detecting
// that only from the engine's next report, or at delivery, would waste the whole
// stream, and the sample would be regenerated when its step is nearly complete.
// The next attempt does not count against the retry budget, because nothing was
// done yet.
var errStaleVersion = errors.New("weight version of the engine is too old")

// errConsumer wraps an error of the emit callback. It is not a fault of the
// engine, so the generation is not retried on another one.
var errConsumer = errors.New("consumer of the stream failed")

// attempt makes one attempt, which continues after the last token so far.
func (g *generation) attempt(ctx context.Context, u *upstream.Upstream) (string, error) {
	started := g.generator.Timer.Now()
	before := len(g.tokenTexts)
	g.version = version.Version{}
	g.upstreams = append(g.upstreams, u.ID)
	finish, err := g.generator.Engine.Generate(ctx, u.Address, engine.Request{
		ID:        g.task.RequestID,
		Attempt:   g.task.RequestID + "." + strconv.Itoa(g.dispatch.Attempts()),
		Model:     g.task.Deployment,
		Prompt:    g.task.Prompt,
		MaxTokens: g.task.MaxTokens,
		Seed:      g.task.Seed,
		Priority:  g.task.Priority.EnginePriority(),
		Resume:    g.tokenTexts,
	}, func(t engine.Token) error { return g.handleToken(u, t) })
	now := g.generator.Timer.Now()
	tokens := len(g.tokenTexts) - before
	if finish.Report != nil {
		u.RecordReport(*finish.Report, now)
	}
	g.recordOutcome(ctx, u, err, now.Sub(started), tokens, now)
	return finish.Reason, err
}

// handleToken checks the version of a token against the staleness bound and emits
// the token.
func (g *generation) handleToken(u *upstream.Upstream, t engine.Token) error {
	if t.Version != g.version || t.Index == 0 {
		g.version = t.Version
		u.RecordVersion(t.Version)
		if _, oldest, ok := g.dispatch.VersionBounds(0); ok && t.Version.Less(oldest) {
			return errStaleVersion
		}
	}
	if err := g.emit(t); err != nil {
		return errors.Join(errConsumer, err)
	}
	g.mayHaveRun = true
	g.tokenTexts = append(g.tokenTexts, t.Text)
	return nil
}

// recordOutcome records the result of an attempt in the state of its upstream.
func (g *generation) recordOutcome(ctx context.Context, u *upstream.Upstream, err error, took time.Duration, tokens int, now timer.Instant) {
	var refused *engine.RefusedError
	switch {
	case err == nil:
		u.Succeeded(took / time.Duration(max(1, tokens)))
	case errors.As(err, &refused):
		g.wasRefused = true
		u.Cancelled()
	case ctx.Err() != nil, errors.Is(err, errConsumer), errors.Is(err, errStaleVersion):
		u.Cancelled()
	default:
		if !errors.Is(err, engine.ErrNotSent) {
			g.mayHaveRun = true
		}
		if errors.Is(err, engine.ErrIncompleteResponse) {
			g.dispatch.ReportCutOff(u)
		}
		u.Failed(now)
	}
}

// limitResult returns the result of the generation for admission control.
func (g *generation) limitResult(err error) limit.Result {
	switch {
	case err == nil:
		return limit.Succeeded
	case g.wasRefused:
		return limit.Overloaded
	}
	return limit.Ignored
}

// finalError returns the error for the caller: choiceErr if no attempt was made,
// or else one for lastErr. A generation is always safe to repeat, so the error
// only has to tell whether it is certain that none of it ran.
func (g *generation) finalError(choiceErr, lastErr error) error {
	if lastErr == nil {
		return choiceErr
	}
	var refused *engine.RefusedError
	kind := problem.UpstreamFailed
	switch {
	case errors.As(lastErr, &refused), errors.Is(lastErr, engine.ErrNotSent):
		kind = problem.UpstreamRefused
	case errors.Is(lastErr, context.DeadlineExceeded):
		kind = problem.UpstreamTimeout
	}
	e := kind.With(lastErr)
	if g.mayHaveRun {
		e = e.WithOutcome(problem.Unknown)
	}
	if e.Kind.Status >= http.StatusInternalServerError {
		e = e.WithRetryAfter(time.Second)
	}
	return e
}
