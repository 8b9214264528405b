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

// errUnwanted ends an attempt whose result nobody would take.
var errUnwanted = errors.New("the sample is no longer wanted")

// wantedEvery is after how many tokens an attempt asks whether it is wanted.
const wantedEvery = 16

// attempt is one attempt at a sample.
type attempt struct {
	live *live
	work session.Work
	task stream.Task
	rec  *sample.Recorder
}

// task returns the generation of an attempt. The caller holds the lock.
func (l *live) task(work session.Work, rec *sample.Recorder) stream.Task {
	return stream.Task{
		RequestID:  fmt.Sprintf("%s.%d.%s.%d", l.state.Trainer, l.state.Number, work.Key, l.attempts),
		Caller:     l.state.Trainer,
		Class:      limit.Training,
		Weight:     l.weight(),
		Deployment: work.Deployment,
		Prompt:     work.Prompt,
		MaxTokens:  work.MaxTokens,
		Seed:       xxhash.Sum64String(work.Key.String()),
		Resume:     rec.Texts,
		Staleness:  true,
		Lead:       work.Lead,
		Share:      l.runner.Demand.Share(work.Deployment, l.state.Trainer, l.weight(), l.runner.Members.View()),
	}
}

// run makes the attempt.
func (a *attempt) run(trip *router.Trip) {
	l := a.live
	timeout := time.Duration(trip.Set.Deployment.TimeoutMS) * time.Millisecond
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
	finish, err := l.runner.Generator.Run(ctx, trip, a.task, func(t engine.Token) error {
		return l.token(a.work.Key, a.rec, t)
	})
	l.runner.Journal.Detail("attempt_end", log.Fields{
		"request_id": a.task.RequestID,
		"tokens":     len(a.rec.Texts),
		"resumed":    len(a.task.Resume),
		"attempts":   trip.Attempts(),
		"took":       l.runner.Timer.Now().Sub(started).String(),
		"error":      fmt.Sprint(err),
	})
	if err != nil {
		l.failed(a.work.Key, err)
		return
	}
	l.finished(a.work, a.rec, finish, a.task.RequestID)
}

func (l *live) weight() float64 {
	if doc := l.runner.Holder.Current(); doc != nil {
		return doc.Parsed().TrainerWeight(l.state.Trainer)
	}
	return 1
}

// token takes one token of an attempt. The longest attempt so far is what a
// further one is resumed from.
func (l *live) token(key sample.Key, rec *sample.Recorder, t engine.Token) error {
	if err := rec.Add(t); err != nil {
		return err
	}
	if len(rec.Texts)%wantedEvery != 1 {
		return nil
	}
	now := l.runner.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.state.Wanted(key) {
		return errUnwanted
	}
	l.state.Progress(key, len(rec.Texts), now)
	l.advance(key, rec, now)
	return nil
}

func (l *live) failed(key sample.Key, err error) {
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

// finished copies a sample to another failure domain and makes it ready. Only
// then may the trainer get it: a sample that is handed over and acknowledged
// needs no copy, but one that is ready and lost would stall the step.
func (l *live) finished(work session.Work, rec *sample.Recorder, finish stream.Finish, requestID string) {
	if len(rec.Spans) == 0 {
		l.failed(work.Key, sample.ErrNoVersion)
		return
	}
	s := &sample.Sample{
		Trainer:   l.state.Trainer,
		Key:       work.Key,
		Prompt:    work.Prompt,
		Text:      rec.Text(),
		Tokens:    len(rec.Texts),
		Finish:    finish.Reason,
		Versions:  rec.Spans,
		Upstreams: finish.Upstreams,
		RequestID: requestID,
	}
	raw, err := json.Marshal(s)
	if err != nil {
		l.failed(work.Key, err)
		return
	}
	l.mu.Lock()
	wanted := l.state.Wanted(work.Key)
	begun := l.progressOf(work.Key).begun
	doneBelow := l.state.DoneBelow()
	l.mu.Unlock()
	now := l.runner.Timer.Now()
	if begun == 0 {
		begun = now
	}
	if wanted && l.runner.copyOut(l.ctx, l, s, raw, now.Sub(begun), doneBelow) {
		l.fence()
	}
	l.settle(work.Key, session.Kept{
		Raw:    raw,
		Oldest: s.Oldest(),
		Tokens: s.Tokens,
		Begun:  begun,
	})
}

func (l *live) settle(key sample.Key, k session.Kept) {
	now := l.runner.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	first := l.state.Finish(key, k, now)
	l.poke()
	if !first {
		l.runner.Metrics.count(fateBeaten)
		return
	}
	l.runner.Metrics.count(fateFinished)
	delete(l.progress, key)
	l.notify()
}
