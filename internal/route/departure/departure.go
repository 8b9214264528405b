package departure

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// RetryAfter is the time after which a client should repeat a request that was refused. It is short,
// as another instance can serve it.
const RetryAfter = 20 * time.Millisecond

// Departure is the departure of an instance. A nil *Departure is one of an instance that never leaves.
type Departure struct {
	timetable Timetable
	timer     timer.Service
	durations durations
	ctx       context.Context
	cancel    context.CancelCauseFunc
	// began is when the instance was told to stop; 0 before.
	began atomic.Int64
	once  sync.Once
}

// New returns the departure of an instance that was not told to stop yet.
func New(t Timetable, svc timer.Service) *Departure {
	d := &Departure{
		timetable: t,
		timer:     svc,
	}
	d.ctx, d.cancel = context.WithCancelCause(context.Background())
	return d
}

// Begin starts the departure. It may be called again.
func (d *Departure) Begin() {
	d.once.Do(func() {
		d.began.Store(max(1, int64(d.timer.Now())))
		go func() {
			timer.Wait(d.timer, d.timetable.Answer, nil)
			d.cancel(problem.Leaving.Withf("the request did not end in time").WithRetryAfter(RetryAfter))
		}()
	})
}

// Began returns when the instance was told to stop, and whether it was.
func (d *Departure) Began() (timer.Instant, bool) {
	if d == nil {
		return 0, false
	}
	at := timer.Instant(d.began.Load())
	return at, at != 0
}

// Timetable returns the timetable.
func (d *Departure) Timetable() Timetable { return d.timetable }

// Context returns the context of all requests. It ends when they get their final answer; its cause
// is then a problem of kind problem.Leaving.
func (d *Departure) Context() context.Context { return d.ctx }

// Request is a request that was read to its end.
type Request struct {
	ID    string
	Route string
	// ReadAt is when it was read.
	ReadAt timer.Instant
	// Limit is the longest time that it may take from now on.
	Limit time.Duration
}

// Admit returns an error if the instance is leaving and the request would probably be cut off. The
// request must not be sent to an upstream then. Admit is called again for one that has waited.
func (d *Departure) Admit(r Request) error {
	began, leaving := d.Began()
	if !leaving {
		return nil
	}
	at := d.timer.Now().Sub(began)
	left := d.timetable.Answer - at
	f := Forecast{
		Limit:       r.Limit,
		LongerShare: d.durations.longerShare(r.Route, left),
	}
	if d.timetable.Takes(r.ReadAt.Sub(began), at, f) {
		return nil
	}
	return problem.Leaving.Withf("the request may take %s, and the instance answers for %s; %.0f%% of the latest ones of its route took longer",
		r.Limit.Round(time.Millisecond), left.Round(time.Millisecond), 100*f.LongerShare).WithRetryAfter(RetryAfter)
}

// Finished records that a request of a route has ended now, which was sent to an upstream at an
// instant and could have taken limit.
func (d *Departure) Finished(route string, limit time.Duration, sentAt timer.Instant) {
	if d == nil || limit <= d.timetable.Answer-d.timetable.Listen {
		return // such requests are always taken
	}
	d.durations.add(route, d.timer.Now().Sub(sentAt))
}
