package runner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"github.com/egretbend/egretbend/internal/outside/engine"
	"github.com/egretbend/egretbend/internal/rollout/sample"
	"github.com/egretbend/egretbend/internal/rollout/session"
	"github.com/egretbend/egretbend/internal/rollout/stream"
	"github.com/egretbend/egretbend/internal/route/limit"
	"github.com/egretbend/egretbend/internal/route/router"
)

// errUnwanted ends an attempt whose result is no longer needed, because its
// step was dropped or another attempt at the sample finished first.
var errUnwanted = errors.New("result of the attempt is no longer needed")

// wantedCheckTokens is the number of tokens between two checks of whether the
// result of an attempt is still needed.
const wantedCheckTokens = 16

// attempt is one attempt at generating a sample.
type attempt struct {
	session *openSession
	work    session.Attempt
	task    stream.Task
	rec     *sample.Recorder
}

// newTask returns the generation task of an attempt. It resumes from the tokens
// in rec. The caller holds the lock.
func (o *openSession) newTask(work session.Attempt, rec *sample.Recorder) stream.Task {
	return stream.Task{
		RequestID:      fmt.Sprintf("%s.%d.%s.%d", o.state.Trainer, o.state.Number, work.Key, o.attemptCount),
		Caller:         o.state.Trainer,
		Priority:       limit.Training,
		Weight:         o.weight(),
		Deployment:     work.Deployment,
		Prompt:         work.Prompt,
		MaxTokens:      work.MaxTokens,
		Seed:           xxhash.Sum64String(work.Key.String()),
		Resume:         rec.Texts,
		BoundStaleness: true,
		VersionLead:    work.StepLead,
		ClaimedShare:   o.runner.Demand.Share(work.Deployment, o.state.Trainer, o.weight(), o.runner.Members.View()),
	}
}

// run generates the sample and records the result or the failure.
func (a *attempt) run(dispatch *router.Dispatch) {
	o := a.session
	timeout := time.Duration(dispatch.Set.Deployment.TimeoutMS) * time.Millisecond
	ctx, cancel := context.WithTimeout(o.ctx, timeout)
	defer cancel()
	if a.work.Second {
		o.runner.Journal.Decision("second_attempt", log.Fields{
			"request_id": a.task.RequestID,
			"sample":     a.work.Key.String(),
			"resumed":    len(a.task.Resume),
			"reason":     "slower_than_median",
		})
	}
	started := o.runner.Timer.Now()
	result, err := o.runner.Generator.Run(ctx, dispatch, a.task, func(t engine.Token) error {
		return o.recordToken(a.work.Key, a.rec, t)
	})
	o.runner.Journal.Debug("attempt_end", log.Fields{
		"request_id": a.task.RequestID,
		"tokens":     len(a.rec.Texts),
		"resumed":    len(a.task.Resume),
		"attempts":   dispatch.Attempts(),
		"took":       o.runner.Timer.Now().Sub(started).String(),
		"error":      fmt.Sprint(err),
	})
	if err != nil {
		o.recordFailure(a.work.Key, err)
		return
	}
	o.finishSample(a.work, a.rec, result, a.task.RequestID)
}

// weight returns the configured weight of the trainer, or 1 while there is no
// configuration.
func (o *openSession) weight() float64 {
	if doc := o.runner.Configuration.Current(); doc != nil {
		return doc.Parsed().TrainerWeight(o.state.Trainer)
	}
	return 1
}

// recordToken adds a token to the record of an attempt. Every wantedCheckTokens
// tokens, it returns errUnwanted if the result is no longer needed, and otherwise
// records the progress of the attempt, so that a later attempt can resume from
// the longest one.
func (o *openSession) recordToken(key sample.Key, rec *sample.Recorder, t engine.Token) error {
	if err := rec.Add(t); err != nil {
		return err
	}
	if len(rec.Texts)%wantedCheckTokens != 1 {
		return nil
	}
	now := o.runner.Timer.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.state.NeedsResult(key) {
		return errUnwanted
	}
	o.state.Progress(key, len(rec.Texts), now)
	o.recordProgress(key, rec, now)
	return nil
}

// recordFailure records that an attempt ended without a sample.
func (o *openSession) recordFailure(key sample.Key, err error) {
	now := o.runner.Timer.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.state.Fail(key, now)
	if errors.Is(err, errUnwanted) {
		o.runner.Metrics.count(fateBeaten)
		return
	}
	o.runner.Metrics.count(fateFailed)
}

// finishSample copies a finished sample to another failure domain and only then
// makes it ready for delivery to the trainer. A sample that was delivered and
// acknowledged needs no copy, but losing a sample that is ready would stall the
// step.
func (o *openSession) finishSample(work session.Attempt, rec *sample.Recorder, result stream.Result, requestID string) {
	if len(rec.Spans) == 0 {
		o.recordFailure(work.Key, sample.ErrNoVersion)
		return
	}
	s := &sample.Sample{
		Trainer:   o.state.Trainer,
		Key:       work.Key,
		Prompt:    work.Prompt,
		Text:      rec.Text(),
		Tokens:    len(rec.Texts),
		Finish:    result.Reason,
		Versions:  rec.Spans,
		Upstreams: result.Upstreams,
		RequestID: requestID,
	}
	raw, err := json.Marshal(s)
	if err != nil {
		o.recordFailure(work.Key, err)
		return
	}
	o.mu.Lock()
	wanted := o.state.NeedsResult(work.Key)
	firstTokenAt := o.progressOf(work.Key).firstTokenAt
	doneBelow := o.state.DoneBelow()
	o.mu.Unlock()
	now := o.runner.Timer.Now()
	if firstTokenAt == 0 {
		firstTokenAt = now
	}
	if wanted && o.runner.copyToOtherDomain(o.ctx, o, work.Deployment, s, raw, now.Sub(firstTokenAt), doneBelow) {
		o.fence()
	}
	o.recordResult(work.Key, session.FinishedSample{
		Raw:          raw,
		Oldest:       s.Oldest(),
		Tokens:       s.Tokens,
		FirstTokenAt: firstTokenAt,
	})
}

// recordResult makes a finished sample ready for delivery, unless another
// attempt finished first or the step was dropped.
func (o *openSession) recordResult(key sample.Key, finished session.FinishedSample) {
	now := o.runner.Timer.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	first := o.state.Finish(key, finished, now)
	o.wakeDispatcher()
	if !first {
		o.runner.Metrics.count(fateBeaten)
		return
	}
	o.runner.Metrics.count(fateFinished)
	delete(o.progress, key)
	o.notifyReaders()
}
