package runner

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/rollout/copystore"
	"github.com/egretbend/egretbend/internal/rollout/demand"
	"github.com/egretbend/egretbend/internal/rollout/sample"
	"github.com/egretbend/egretbend/internal/rollout/session"
)

const (
	// dispatchInterval is the longest time between two checks for attempts to
	// start.
	dispatchInterval = 20 * time.Millisecond
	// admissionBackoff is how long a session starts no attempts after the
	// router refused one.
	admissionBackoff = 40 * time.Millisecond
)

// openSession is a session that a trainer opened on this instance, with its
// running attempts.
type openSession struct {
	runner *Runner
	// ctx is done when the session ends.
	ctx    context.Context
	cancel context.CancelFunc
	// wake makes run check for work before its next tick.
	wake chan struct{}
	// drained is closed when this instance drains.
	drained chan struct{}

	mu    sync.Mutex
	state session.Session
	// changed is closed and replaced when a waiting read may return more.
	changed  chan struct{}
	progress map[sample.Key]*progress
	// admissionRetryAt is when attempts may be started again after the router
	// refused one.
	admissionRetryAt timer.Instant
	// lastBusyAt is when the session last had an attempt to start.
	lastBusyAt timer.Instant
	// publishedBusy is the state that was last published to the fleet.
	publishedBusy bool
	// attemptCount numbers the attempts in their request IDs.
	attemptCount uint64
	isFenced     bool
	drainOnce    sync.Once
}

func newOpenSession(r *Runner, trainer string, number uint64) *openSession {
	ctx, cancel := context.WithCancel(r.Tomb.Context(context.Background()))
	return &openSession{
		runner:  r,
		ctx:     ctx,
		cancel:  cancel,
		wake:    make(chan struct{}, 1),
		drained: make(chan struct{}),
		state: session.Session{
			Trainer: trainer,
			Number:  number,
			OnDeliver: func(deployment string, finished session.FinishedSample) {
				r.Metrics.observeStaleness(finished.Oldest.Behind(r.stalenessBound(deployment, nil).Newest))
			},
		},
		changed:  make(chan struct{}),
		progress: make(map[sample.Key]*progress),
	}
}

// stop ends the session and cancels its attempts.
func (o *openSession) stop() { o.cancel() }

// drain makes waiting reads return.
func (o *openSession) drain() { o.drainOnce.Do(func() { close(o.drained) }) }

// fence ends the session because the trainer opened a later one on another
// instance. Reads then fail with problem.SessionFenced.
func (o *openSession) fence() {
	o.mu.Lock()
	o.isFenced = true
	o.mu.Unlock()
	o.cancel()
}

func (o *openSession) fenced() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.isFenced
}

// run dispatches attempts until the session ends.
func (o *openSession) run() error {
	tick := o.runner.Timer.Every(dispatchInterval)
	defer tick.Close()
	for {
		o.dispatch()
		select {
		case <-tick.C:
		case <-o.wake:
		case <-o.ctx.Done():
			return nil
		}
	}
}

// dispatch drops overdue steps, publishes the trainer's demand, and starts
// attempts until the session has none to start or the router refuses one.
func (o *openSession) dispatch() {
	now := o.runner.Timer.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, n := range o.state.DropOverdue(now) {
		o.runner.Journal.Decision("drop_step", log.Fields{
			"trainer": o.state.Trainer,
			"step":    n,
			"reason":  "drop_time_passed",
		})
		maps.DeleteFunc(o.progress, func(key sample.Key, _ *progress) bool { return key.Step == n })
		o.notifyReaders()
	}
	o.publishDemand(now)
	if now < o.admissionRetryAt {
		return
	}
	for {
		work, ok := o.state.Next(o.limits(), now)
		if !ok {
			return
		}
		if !o.startAttempt(work) {
			o.state.UndoNext(work)
			o.admissionRetryAt = now.Add(admissionBackoff)
			return
		}
	}
}

// idleDelay is how long a session must have no attempt to start before it is
// published as idle. It keeps a session from publishing a change to the fleet
// for each short gap between two samples.
const idleDelay = 300 * time.Millisecond

// publishDemand publishes to the fleet when the trainer becomes busy or idle.
// The caller holds the lock.
func (o *openSession) publishDemand(now timer.Instant) {
	deployment := o.state.Deployment()
	busy := o.state.Busy()
	if busy {
		o.lastBusyAt = now
	}
	busy = busy || (o.publishedBusy && now.Sub(o.lastBusyAt) < idleDelay)
	if busy == o.publishedBusy || (busy && deployment == "") {
		return
	}
	o.publishedBusy = busy
	o.runner.Demand.Publish(demand.Demand{
		Trainer:    o.state.Trainer,
		Session:    o.state.Number,
		Instance:   o.runner.Members.Self().ID,
		Deployment: deployment,
		Weight:     o.weight(),
		Busy:       busy,
	})
}

// startAttempt starts an attempt and reports whether the router admitted it. The
// caller holds the lock. Admission takes place here and not in the goroutine of
// the attempt, so that work that is not admitted keeps its place in the
// session's order instead of waiting in many goroutines.
func (o *openSession) startAttempt(work session.Attempt) bool {
	o.attemptCount++
	a := &attempt{
		session: o,
		work:    work,
		rec:     o.resumeRecorder(work),
	}
	a.task = o.newTask(work, a.rec)
	if p, ok := o.progress[work.Key]; ok && work.Second {
		a.task.Avoid = slices.Clone(p.upstreams)
	}
	a.task.OnChosen = func(upstream string) { o.recordUpstream(work.Key, upstream) }
	dispatch, err := o.runner.Generator.Admit(a.task)
	if err != nil {
		return false
	}
	o.runner.Tomb.Go(func() error {
		a.run(dispatch)
		return nil
	})
	return true
}

// limits returns the limits from the configuration of the oldest open step's
// deployment. The caller holds the lock.
func (o *openSession) limits() session.Limits {
	d, err := o.runner.deployment(o.state.Deployment())
	if err != nil {
		return session.Limits{}
	}
	return session.Limits{
		MaxAttempts:    d.Rounds.MaxConcurrentSamples,
		SecondAttempts: d.Rounds.SecondAttempts,
		RunAhead:       d.Staleness.MaxVersions,
	}
}

// notifyReaders wakes waiting reads. The caller holds the lock.
func (o *openSession) notifyReaders() {
	close(o.changed)
	o.changed = make(chan struct{})
}

// wakeDispatcher makes run dispatch without waiting for its next tick.
func (o *openSession) wakeDispatcher() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// submit adds a step and its samples recovered from copies.
func (o *openSession) submit(spec session.Spec, dropAfter time.Duration, copies []copystore.Copy) (session.Status, error) {
	now := o.runner.Timer.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.state.Submit(spec, dropAfter, now); err != nil {
		return session.Status{}, err
	}
	for _, c := range copies {
		recovered := o.state.Recover(c.Key, session.FinishedSample{
			Raw:          c.Raw,
			Oldest:       c.Oldest,
			FirstTokenAt: now.Add(-c.Age),
		})
		if recovered {
			o.runner.Metrics.count(fateRecovered)
		}
	}
	o.notifyReaders()
	o.wakeDispatcher()
	status, _ := o.state.Find(spec.Step)
	return status, nil
}

// read waits until there are entries to return, for at most the time in args
// and maxReadWait.
func (o *openSession) read(ctx context.Context, args ReadArgs) (session.Batch, error) {
	wait := min(time.Duration(args.WaitMS)*time.Millisecond, maxReadWait)
	timeout := o.runner.Timer.Once(wait)
	defer timeout.Close()
	for {
		batch, changed, err := o.tryRead(args)
		if err != nil || len(batch.Entries) > 0 || wait <= 0 {
			return batch, err
		}
		select {
		case <-changed:
		case <-timeout.C:
			return batch, nil
		case <-o.drained:
			return batch, nil
		case <-ctx.Done():
			return batch, nil
		case <-o.ctx.Done():
			if o.fenced() {
				return batch, problem.SessionFenced.Withf("a session above %d was opened", args.Session)
			}
			return batch, nil
		}
	}
}

// tryRead reads without waiting. The returned channel is closed when another
// read may return more.
func (o *openSession) tryRead(args ReadArgs) (session.Batch, <-chan struct{}, error) {
	now := o.runner.Timer.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	changed := o.changed
	if o.isFenced {
		return session.Batch{}, changed, problem.SessionFenced.Withf("a session above %d was opened", args.Session)
	}
	before := o.state.Discarded()
	batch, err := o.state.Read(args.Cursor, args.Max, func(deployment string) session.StalenessBound {
		return o.runner.stalenessBound(deployment, args.Newest)
	}, now)
	if n := o.state.Discarded() - before; n > 0 {
		o.wakeDispatcher()
		for range n {
			o.runner.Metrics.count(fateDiscarded)
		}
	}
	return batch, changed, err
}

// overview returns the state of the session for operators.
func (o *openSession) overview() Overview {
	o.mu.Lock()
	defer o.mu.Unlock()
	return Overview{
		Trainer: o.state.Trainer,
		Session: o.state.Number,
		Fenced:  o.isFenced,
		Steps:   o.state.Steps(),
	}
}
