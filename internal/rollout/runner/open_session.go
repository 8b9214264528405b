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
			OnDeliver: func(deployment string, k session.FinishedSample) {
				r.Metrics.observeStaleness(k.Oldest.Behind(r.stalenessBound(deployment, nil).Newest))
			},
		},
		changed:  make(chan struct{}),
		progress: make(map[sample.Key]*progress),
	}
}

// stop ends the session and cancels its attempts.
func (l *openSession) stop() { l.cancel() }

// drain makes waiting reads return.
func (l *openSession) drain() { l.drainOnce.Do(func() { close(l.drained) }) }

// fence ends the session because the trainer opened a later one on another
// instance. Reads then fail with problem.SessionFenced.
func (l *openSession) fence() {
	l.mu.Lock()
	l.isFenced = true
	l.mu.Unlock()
	l.cancel()
}

func (l *openSession) fenced() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isFenced
}

// run dispatches attempts until the session ends.
func (l *openSession) run() error {
	tick := l.runner.Timer.Every(dispatchInterval)
	defer tick.Close()
	for {
		l.dispatch()
		select {
		case <-tick.C:
		case <-l.wake:
		case <-l.ctx.Done():
			return nil
		}
	}
}

// dispatch drops overdue steps, publishes the trainer's demand, and starts
// attempts until the session has none to start or the router refuses one.
func (l *openSession) dispatch() {
	now := l.runner.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range l.state.DropOverdue(now) {
		l.runner.Journal.Decision("drop_step", log.Fields{
			"trainer": l.state.Trainer,
			"step":    n,
			"reason":  "drop_time_passed",
		})
		maps.DeleteFunc(l.progress, func(key sample.Key, _ *progress) bool { return key.Step == n })
		l.notifyReaders()
	}
	l.publishDemand(now)
	if now < l.admissionRetryAt {
		return
	}
	for {
		work, ok := l.state.Next(l.limits(), now)
		if !ok {
			return
		}
		if !l.startAttempt(work) {
			l.state.UndoNext(work)
			l.admissionRetryAt = now.Add(admissionBackoff)
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
func (l *openSession) publishDemand(now timer.Instant) {
	deployment := l.state.Deployment()
	busy := l.state.Busy()
	if busy {
		l.lastBusyAt = now
	}
	busy = busy || (l.publishedBusy && now.Sub(l.lastBusyAt) < idleDelay)
	if busy == l.publishedBusy || (busy && deployment == "") {
		return
	}
	l.publishedBusy = busy
	l.runner.Demand.Publish(demand.Demand{
		Trainer:    l.state.Trainer,
		Session:    l.state.Number,
		Instance:   l.runner.Members.Self().ID,
		Deployment: deployment,
		Weight:     l.weight(),
		Busy:       busy,
	})
}

// startAttempt starts an attempt and reports whether the router admitted it. The
// caller holds the lock. Admission takes place here and not in the goroutine of
// the attempt, so that work that is not admitted keeps its place in the
// session's order instead of waiting in many goroutines.
func (l *openSession) startAttempt(work session.Attempt) bool {
	l.attemptCount++
	a := &attempt{
		session: l,
		work:    work,
		rec:     l.resumeRecorder(work),
	}
	a.task = l.newTask(work, a.rec)
	if p, ok := l.progress[work.Key]; ok && work.Second {
		a.task.Avoid = slices.Clone(p.upstreams)
	}
	a.task.OnChosen = func(upstream string) { l.recordUpstream(work.Key, upstream) }
	dispatch, err := l.runner.Generator.Admit(a.task)
	if err != nil {
		return false
	}
	l.runner.Tomb.Go(func() error {
		a.run(dispatch)
		return nil
	})
	return true
}

// limits returns the limits from the configuration of the oldest open step's
// deployment. The caller holds the lock.
func (l *openSession) limits() session.Limits {
	d, err := l.runner.deployment(l.state.Deployment())
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
func (l *openSession) notifyReaders() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// wakeDispatcher makes run dispatch without waiting for its next tick.
func (l *openSession) wakeDispatcher() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// submit adds a step and its samples recovered from copies.
func (l *openSession) submit(spec session.Spec, dropAfter time.Duration, copies []copystore.Copy) (session.Status, error) {
	now := l.runner.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.state.Submit(spec, dropAfter, now); err != nil {
		return session.Status{}, err
	}
	for _, c := range copies {
		recovered := l.state.Recover(c.Key, session.FinishedSample{
			Raw:          c.Raw,
			Oldest:       c.Oldest,
			FirstTokenAt: now.Add(-c.Age),
		})
		if recovered {
			l.runner.Metrics.count(fateRecovered)
		}
	}
	l.notifyReaders()
	l.wakeDispatcher()
	status, _ := l.state.Find(spec.Step)
	return status, nil
}

// read waits until there are entries to return, for at most the time in args
// and maxReadWait.
func (l *openSession) read(ctx context.Context, args ReadArgs) (session.Batch, error) {
	wait := min(time.Duration(args.WaitMS)*time.Millisecond, maxReadWait)
	timeout := l.runner.Timer.Once(wait)
	defer timeout.Close()
	for {
		batch, changed, err := l.tryRead(args)
		if err != nil || len(batch.Entries) > 0 || wait <= 0 {
			return batch, err
		}
		select {
		case <-changed:
		case <-timeout.C:
			return batch, nil
		case <-l.drained:
			return batch, nil
		case <-ctx.Done():
			return batch, nil
		case <-l.ctx.Done():
			if l.fenced() {
				return batch, problem.SessionFenced.Withf("a session above %d was opened", args.Session)
			}
			return batch, nil
		}
	}
}

// tryRead reads without waiting. The returned channel is closed when another
// read may return more.
func (l *openSession) tryRead(args ReadArgs) (session.Batch, <-chan struct{}, error) {
	now := l.runner.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := l.changed
	if l.isFenced {
		return session.Batch{}, changed, problem.SessionFenced.Withf("a session above %d was opened", args.Session)
	}
	before := l.state.Discarded()
	batch, err := l.state.Read(args.Cursor, args.Max, func(deployment string) session.StalenessBound {
		return l.runner.stalenessBound(deployment, args.Newest)
	}, now)
	if n := l.state.Discarded() - before; n > 0 {
		l.wakeDispatcher()
		for range n {
			l.runner.Metrics.count(fateDiscarded)
		}
	}
	return batch, changed, err
}

// overview returns the state of the session for operators.
func (l *openSession) overview() Overview {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Overview{
		Trainer: l.state.Trainer,
		Session: l.state.Number,
		Fenced:  l.isFenced,
		Steps:   l.state.Steps(),
	}
}
