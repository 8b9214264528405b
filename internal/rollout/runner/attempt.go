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
func (l *openSession) newTask(work session.Attempt, rec *sample.Recorder) stream.Task {
	return stream.Task{
		RequestID:      fmt.Sprintf("%s.%d.%s.%d", l.state.Trainer, l.state.Number, work.Key, l.attemptCount),
		Caller:         l.state.Trainer,
		Priority:       limit.Training,
		Weight:         l.weight(),
		Deployment:     work.Deployment,
		Prompt:         work.Prompt,
		MaxTokens:      work.MaxTokens,
		Seed:           xxhash.Sum64String(work.Key.String()),
		Resume:         rec.Texts,
		BoundStaleness: true,
		VersionLead:    work.StepLead,
		ClaimedShare:   l.runner.Demand.Share(work.Deployment, l.state.Trainer, l.weight(), l.runner.Members.View()),
	}
}

// run generates the sample and records the result or the failure.
func (a *attempt) run(dispatch *router.Dispatch) {
	l := a.session
	timeout := time.Duration(dispatch.Set.Deployment.TimeoutMS) * time.Millisecond
	ctx, cancel := context.WithTimeout(l.ctx, timeout)
	defer cancel()
	if a.work.Second {
		l.runner.Journal.Decision("second_attempt", log.Fields{
			"request_id": a.task.RequestID,
			"sample":     a.work.Key.String(),
			"resumed":    len(a.task.Resume),
			"reason":     "slower_than_median",
		})
	}
	started := l.runner.Timer.Now()
	result, err := l.runner.Generator.Run(ctx, dispatch, a.task, func(t engine.Token) error {
		return l.recordToken(a.work.Key, a.rec, t)
	})
	l.runner.Journal.Debug("attempt_end", log.Fields{
		"request_id": a.task.RequestID,
		"tokens":     len(a.rec.Texts),
		"resumed":    len(a.task.Resume),
		"attempts":   dispatch.Attempts(),
		"took":       l.runner.Timer.Now().Sub(started).String(),
		"error":      fmt.Sprint(err),
	})
	if err != nil {
		l.recordFailure(a.work.Key, err)
		return
	}
	l.finishSample(a.work, a.rec, result, a.task.RequestID)
}

// weight returns the configured weight of the trainer, or 1 while there is no
// configuration.
func (l *openSession) weight() float64 {
	if doc := l.runner.Configuration.Current(); doc != nil {
		return doc.Parsed().TrainerWeight(l.state.Trainer)
	}
	return 1
}

// recordToken adds a token to the record of an attempt. Every wantedCheckTokens
// tokens, it returns errUnwanted if the result is no longer needed, and otherwise
// records the progress of the attempt, so that a later attempt can resume from
// the longest one.
func (l *openSession) recordToken(key sample.Key, rec *sample.Recorder, t engine.Token) error {
	if err := rec.Add(t); err != nil {
		return err
	}
	if len(rec.Texts)%wantedCheckTokens != 1 {
		return nil
	}
	now := l.runner.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.state.NeedsResult(key) {
		return errUnwanted
	}
	l.state.Progress(key, len(rec.Texts), now)
	l.recordProgress(key, rec, now)
	return nil
}

// recordFailure records that an attempt ended without a sample.
func (l *openSession) recordFailure(key sample.Key, err error) {
	now := l.runner.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.Fail(key, now)
	if errors.Is(err, errUnwanted) {
		l.runner.Metrics.count(fateBeaten)
		return
	}
	l.runner.Metrics.count(fateFailed)
}

// finishSample copies a finished sample to another failure domain and only then
// makes it ready for delivery to the trainer. A sample that was delivered and
// acknowledged needs no copy, but losing a sample that is ready would stall the
// step.
func (l *openSession) finishSample(work session.Attempt, rec *sample.Recorder, result stream.Result, requestID string) {
	if len(rec.Spans) == 0 {
		l.recordFailure(work.Key, sample.ErrNoVersion)
		return
	}
	s := &sample.Sample{
		Trainer:   l.state.Trainer,
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
		l.recordFailure(work.Key, err)
		return
	}
	l.mu.Lock()
	wanted := l.state.NeedsResult(work.Key)
	firstTokenAt := l.progressOf(work.Key).firstTokenAt
	doneBelow := l.state.DoneBelow()
	l.mu.Unlock()
	now := l.runner.Timer.Now()
	if firstTokenAt == 0 {
		firstTokenAt = now
	}
	if wanted && l.runner.copyToOtherDomain(l.ctx, l, s, raw, now.Sub(firstTokenAt), doneBelow) {
		l.fence()
	}
	l.recordResult(work.Key, session.FinishedSample{
		Raw:          raw,
		Oldest:       s.Oldest(),
		Tokens:       s.Tokens,
		FirstTokenAt: firstTokenAt,
	})
}

// recordResult makes a finished sample ready for delivery, unless another
// attempt finished first or the step was dropped.
func (l *openSession) recordResult(key sample.Key, k session.FinishedSample) {
	now := l.runner.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	first := l.state.Finish(key, k, now)
	l.wakeDispatcher()
	if !first {
		l.runner.Metrics.count(fateBeaten)
		return
	}
	l.runner.Metrics.count(fateFinished)
	delete(l.progress, key)
	l.notifyReaders()
}
