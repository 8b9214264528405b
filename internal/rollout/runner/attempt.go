package runner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/platform/engine"
	"github.com/egretbend/egretbend/internal/rollout/sample"
	"github.com/egretbend/egretbend/internal/rollout/session"
	"github.com/egretbend/egretbend/internal/rollout/stream"
	"github.com/egretbend/egretbend/internal/route/limit"
)

// errUnwanted ends an attempt whose result nobody would take.
var errUnwanted = errors.New("the sample is no longer wanted")

// wantedEvery is after how many tokens an attempt asks whether it is wanted.
const wantedEvery = 16

// attempt makes one attempt at a sample.
func (l *live) attempt(work session.Work, id uint64) {
	requestID := fmt.Sprintf("%s.%d.%s.%d", l.state.Trainer, l.state.Number, work.Key, id)
	d, err := l.runner.deployment(work.Deployment)
	if err != nil {
		l.failed(work.Key, err)
		return
	}
	ctx, cancel := context.WithTimeout(l.ctx, time.Duration(d.TimeoutMS)*time.Millisecond)
	defer cancel()
	rec := l.resume(work)
	resumed := len(rec.Texts)
	if work.Second {
		l.runner.Journal.Decision("second_attempt", log.Fields{
			"request_id": requestID,
			"sample":     work.Key.String(),
			"resumed":    resumed,
			"reason":     "holds_up_group",
		})
	}
	finish, err := l.runner.Generator.Run(ctx, stream.Task{
		RequestID:  requestID,
		Caller:     l.state.Trainer,
		Class:      limit.Training,
		Weight:     l.weight(),
		Deployment: work.Deployment,
		Prompt:     work.Prompt,
		MaxTokens:  work.MaxTokens,
		Seed:       xxhash.Sum64String(work.Key.String()),
		Resume:     rec.Texts,
		Staleness:  true,
	}, func(t engine.Token) error { return l.token(work.Key, rec, t) })
	if err != nil {
		l.failed(work.Key, err)
		return
	}
	l.finished(work, rec, finish, requestID)
}

func (l *live) weight() float64 {
	if doc := l.runner.Holder.Current(); doc != nil {
		return doc.Parsed().TrainerWeight(l.state.Trainer)
	}
	return 1
}

// resume returns what earlier attempts made of a sample, unless it is by now
// too old to begin with.
func (l *live) resume(work session.Work) *sample.Recorder {
	l.mu.Lock()
	defer l.mu.Unlock()
	old, ok := l.partials[work.Key]
	if !ok {
		return &sample.Recorder{}
	}
	newest := l.newest(work.Deployment)
	bound := l.runner.bound(work.Deployment, nil)
	for _, span := range old.Spans {
		if span.Version.Behind(newest) >= max(1, bound.MaxVersions) {
			delete(l.partials, work.Key)
			delete(l.begun, work.Key)
			return &sample.Recorder{}
		}
	}
	return old.Clone()
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
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.state.Wanted(key) {
		return errUnwanted
	}
	if best, ok := l.partials[key]; !ok || len(best.Texts) < len(rec.Texts) {
		l.partials[key] = rec.Clone()
	}
	if _, ok := l.begun[key]; !ok {
		l.begun[key] = l.runner.Timer.Now()
	}
	return nil
}

func (l *live) failed(key sample.Key, err error) {
	now := l.runner.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if problem.Is(err, problem.Overloaded) || problem.Is(err, problem.UpstreamRefused) {
		l.window = max(windowLeast, l.window*0.9)
	}
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
	begun, ok := l.begun[work.Key]
	doneBelow := l.state.DoneBelow()
	l.mu.Unlock()
	now := l.runner.Timer.Now()
	if !ok {
		begun = now
	}
	if wanted && l.runner.copyOut(l.ctx, l, s, raw, now.Sub(begun), doneBelow) {
		l.fence()
	}
	l.settle(work.Key, session.Kept{
		Raw:    raw,
		Oldest: s.Oldest(),
		Begun:  begun,
	})
}

func (l *live) settle(key sample.Key, k session.Kept) {
	now := l.runner.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	first := l.state.Finish(key, k, now)
	l.window++
	l.poke()
	if !first {
		l.runner.Metrics.count(fateBeaten)
		return
	}
	l.runner.Metrics.count(fateFinished)
	delete(l.partials, key)
	delete(l.begun, key)
	l.notify()
}
