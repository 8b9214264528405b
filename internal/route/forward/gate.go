package forward

import (
	"context"
	"errors"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/engine"
	"github.com/egretbend/egretbend/internal/route/admission"
	"github.com/egretbend/egretbend/internal/route/catalog"
	"github.com/egretbend/egretbend/internal/route/residency"
	"github.com/egretbend/egretbend/internal/route/upstream"
)

// startFirst starts the first attempt once the gate of the service admits it.
func (d *dispatch) startFirst(ctx context.Context) error {
	if err := d.checkDeparture(); err != nil {
		return err
	}
	if err := d.passGate(ctx); err != nil {
		return err
	}
	if err := d.judgeAgain(); err != nil {
		return d.leaveGateOnError(err)
	}
	return d.startAdmitted(ctx)
}

// judgeAgain renews the verdict on a request that may have waited at the gate, and returns an
// error if the request is quarantined by now.
func (d *dispatch) judgeAgain() error {
	if d.gate == nil || !d.mayBePoison() || d.verdict.Trial {
		return nil
	}
	d.verdict = d.f.PoisonDetector.Judge(d.req.digest)
	if d.verdict.Quarantined() {
		return problem.Quarantined.Withf("%s", d.verdict).WithRetryAfter(d.verdict.RetryAfter)
	}
	return nil
}

// startHedge starts a second attempt while the first is in flight, if the gate has room.
func (d *dispatch) startHedge(ctx context.Context) {
	if d.gate != nil && !d.gate.AcquireHedge(d.req.Class) {
		return
	}
	_ = d.leaveGateOnError(d.startAttempt(ctx))
}

// startNext starts an attempt after one that ended with err. After a refusal, it waits for a
// pause and passes the gate again, unless the request was refused too often, the retry budget of
// the service is spent or not enough time is left. A refused reward call returns to its caller,
// which has no deadline and sends it through the gate again.
func (d *dispatch) startNext(ctx context.Context, err error) error {
	if d.gate == nil {
		return d.startClaimedAttempt(ctx)
	}
	if !isRefusal(err) {
		d.updateGate()
		if d.gate == nil {
			return d.startClaimedAttempt(ctx)
		}
		d.gate.Enter(d.req.Class)
		return d.startAdmitted(ctx)
	}
	pause := admission.Pause(d.refused, rand.Float64())
	timeLeft := d.deadline.Sub(d.f.Timer.Now()) - minTimeLeft
	if d.req.Class != admission.Interactive || d.refused >= admission.MaxRefusedSends || pause >= timeLeft || !d.gate.WithdrawRetry() {
		return problem.UpstreamRefused.Withf("refused %d times", d.refused).
			WithRetryAfter(admission.Jitter(retryAfterRefused, rand.Float64()))
	}
	if !timer.Wait(d.f.Timer, pause, ctx.Done()) {
		return problem.UpstreamTimeout.Withf("the caller cancelled the request: %w", ctx.Err())
	}
	if err := d.passGate(ctx); err != nil {
		return err
	}
	return d.startAdmitted(ctx)
}

// startAdmitted starts an attempt that the gate has admitted.
func (d *dispatch) startAdmitted(ctx context.Context) error {
	return d.leaveGateOnError(d.startClaimedAttempt(ctx))
}

// leaveGateOnError leaves the gate if an attempt that it admitted was not started because of
// err, which it returns.
func (d *dispatch) leaveGateOnError(err error) error {
	if err != nil && d.gate != nil {
		d.gate.Release(d.req.Class, admission.Ended, admission.Timing{}, nil)
	}
	return err
}

// passGate waits until the gate of the service admits an attempt. A request that the gate
// refuses is logged and did not run.
func (d *dispatch) passGate(ctx context.Context) error {
	if d.gate == nil {
		return nil
	}
	r := admission.Request{
		ID:                   d.req.ID,
		Class:                d.req.Class,
		Organisation:         d.req.Organisation,
		OrganisationPriority: d.req.OrganisationPriority,
		RoutePriority:        d.req.Route.Priority,
		Deadline:             d.deadline,
		Stream:               d.req.Route.Kind == catalog.Streaming,
		Revalidator:          d,
	}
	if r.Class == admission.Reward {
		// The wait of a reward call does not count towards the time limit of its route.
		r.Deadline, r.Due = 0, d.req.Due
		defer func() { d.deadline = d.f.Timer.Now().Add(d.deadline.Sub(d.started)) }()
	}
	for d.gate != nil {
		err := d.gate.Acquire(ctx, r)
		if err != nil && !errors.Is(err, admission.ErrWithdrawn) {
			return d.notAdmitted(ctx, err)
		}
		d.applyConfiguration()
		if err == nil && !d.regionsChanged {
			break
		}
		// The upstreams that may serve the request have changed while it waited.
		if err == nil {
			d.gate.Release(r.Class, admission.Ended, admission.Timing{}, nil)
		}
		d.updateGate()
		if err := d.checkRegions(); err != nil {
			return err
		}
	}
	// The list of upstreams may have changed while the request waited.
	d.refreshGroup()
	return nil
}

// notAdmitted returns the error for the caller of a request that the gate did not admit, and
// logs it if the gate refused it.
func (d *dispatch) notAdmitted(ctx context.Context, err error) error {
	var refusal *admission.RefusalError
	if !errors.As(err, &refusal) {
		return cancelledBeforeRun(ctx)
	}
	d.f.Journal.Decision("refuse", log.Fields{
		"request_id":       d.req.ID,
		"service":          d.service,
		"organisation":     d.req.Organisation,
		"class":            d.req.Class.String(),
		"reason":           refusal.Reason,
		"waiting":          refusal.Waiting,
		"window":           math.Round(10*refusal.Refusal.Window) / 10,
		"expected_wait_ms": refusal.ExpectedWait.Milliseconds(),
		"retry_after_ms":   refusal.RetryAfter.Milliseconds(),
	})
	if refusal.Reason == admission.ReasonNoUpstream {
		d.refreshGroup()
		return d.noUpstream()
	}
	return problem.Overloaded.With(refusal).WithRetryAfter(refusal.RetryAfter)
}

// leaveGate tells the gate how an attempt ended. The answer of an upstream that is still
// streaming occupies it until the stream is closed; unused is set if nobody reads it.
func (d *dispatch) leaveGate(r attemptResult, unused bool) {
	if d.gate == nil {
		return
	}
	result := admission.Ended
	switch {
	case isRefusal(r.err):
		result = admission.Refused
		d.refused++
	case r.err == nil && r.answer.Status < http.StatusInternalServerError:
		result = admission.Answered
	}
	timing := admission.Timing{
		Answer:   r.took,
		Occupied: r.took,
	}
	if r.answer == nil {
		d.gate.Release(d.req.Class, result, timing, nil)
		return
	}
	if r.answer.Stream == nil || unused || result != admission.Answered {
		d.gate.Release(d.req.Class, result, timing, r.answer.Load)
		return
	}
	r.answer.Stream = d.leaveWithStream(r)
}

// leaveWithStream returns the stream of an answer, which leaves the gate when it ends.
func (d *dispatch) leaveWithStream(r attemptResult) io.ReadCloser {
	startedAt := d.f.Timer.Now().Add(-r.took)
	return &admittedStream{
		ReadCloser: r.answer.Stream,
		release: sync.OnceFunc(func() {
			d.gate.Release(d.req.Class, admission.Answered, admission.Timing{
				Answer:   r.took,
				Occupied: d.f.Timer.Now().Sub(startedAt),
			}, nil)
		}),
	}
}

// UpstreamsChanged applies a change of the evacuated failure domains to the requests that wait
// at the gates: those of a service without an upstream are refused.
func (f *Forwarder) UpstreamsChanged() {
	if f.Admission != nil {
		f.Admission.Refresh(f.setOfGate)
	}
}

// gatedPart is the part of a service that has a gate of its own.
type gatedPart struct {
	service string
	regions residency.Regions
}

// setOfGate returns the present upstreams behind a gate.
func (f *Forwarder) setOfGate(name string) *upstream.Set {
	if part, ok := f.gatedParts.Load(name); ok {
		p := part.(gatedPart)
		return f.Upstreams.Group(p.service).In(p.regions).Set
	}
	return f.Upstreams.Group(name).Set
}

func isRefusal(err error) bool {
	if err == nil {
		return false // the most frequent case, without the allocation below
	}
	var refused *engine.RefusedError
	return errors.As(err, &refused)
}

// admittedStream is a streaming answer that leaves the gate when it ends or is closed.
type admittedStream struct {
	io.ReadCloser
	release func()
}

// Read implements io.Reader.
func (s *admittedStream) Read(p []byte) (int, error) {
	n, err := s.ReadCloser.Read(p)
	if err != nil {
		s.release()
	}
	return n, err
}

// Close implements io.Closer.
func (s *admittedStream) Close() error {
	defer s.release()
	return s.ReadCloser.Close()
}

// gateOf returns the gate of the part of a service that may serve the request, or nil if there
// is none or the service has no upstreams, in which case there is nothing to wait for.
func (f *Forwarder) gateOf(d *dispatch) *admission.Service {
	if f.Admission == nil || len(d.group.Upstreams) == 0 {
		return nil
	}
	name := d.service
	if d.regions.Restricted() {
		name += " in " + d.regions.String()
		if _, known := f.gatedParts.Load(name); !known {
			f.gatedParts.Store(name, gatedPart{d.service, d.regions})
		}
	}
	return f.Admission.Service(name, d.group.Set)
}

// retryAfter returns when a caller whose request upstreams refused may retry. err is why no
// other attempt was started, if any; the gate knows when there is room, and a verdict when a
// suspected request may come again.
func retryAfter(err error) time.Duration {
	if problem.Is(err, problem.Overloaded) || problem.Is(err, problem.UpstreamRefused) || problem.Is(err, problem.Quarantined) || errors.Is(err, errAllCold) {
		return problem.From(err).RetryAfter
	}
	return retryAfterRefused
}
