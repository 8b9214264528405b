package forward

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/admission"
	"github.com/egretbend/egretbend/internal/route/catalog"
	"github.com/egretbend/egretbend/internal/route/departure"
)

// Guards against requests that are cut off without an answer when their instance ends, and against one
// that only waited and whose client isn't told that it did not run.
func TestEndOfTheInstanceAnswersRequests(t *testing.T) {
	is := is.New(t)
	s := &sender{behaviours: []behaviour{hangs}}
	f, stop := newForwarder(s, 6)
	defer stop()
	addGates(f)
	g := f.testGate()
	ctx, end := context.WithCancelCause(context.Background())
	do := func(class admission.Class) <-chan *problem.Error {
		answered := make(chan *problem.Error, 1)
		go func() {
			_, err := f.Do(ctx, Request{ID: "x", Route: patient(catalog.NonIdempotent), Class: class})
			answered <- problem.From(err)
		}()
		return answered
	}
	eventually := func(holds func() bool) {
		is.True(timer.Poll(timer.Real{}, time.Millisecond, 20*time.Second, nil, holds))
	}
	running := do(admission.Interactive)
	eventually(func() bool { return s.counted().sent == 1 })
	for range 12 { // the starting window
		is.NoErr(g.Acquire(context.Background(), admission.Request{Class: admission.Reward}))
	}
	waiting := do(admission.Reward)
	eventually(func() bool { return g.Waiting(admission.Reward) == 1 })
	end(problem.Leaving.Withf("the request did not end in time").WithRetryAfter(time.Millisecond))
	is.Equal((<-running).Kind.Outcome, problem.Unknown)
	refused := <-waiting
	is.True(problem.Is(refused, problem.Leaving))
	is.Equal(refused.Kind.Outcome, problem.NotRun)
	is.Equal(refused.RetryAfter, time.Millisecond)
	is.Equal(s.counted().sent, 1)
}

// refusingDeparture refuses requests once refuse is set.
type refusingDeparture struct{ refuse atomic.Bool }

// Admit implements Departure.
func (d *refusingDeparture) Admit(departure.Request) error {
	if d.refuse.Load() {
		return problem.Leaving.Withf("no time")
	}
	return nil
}

// Guards against a stream that waits at the gate while its instance is told to stop, and is sent only to be
// broken off.
func TestWaitingRequestIsRefusedIfTheInstanceEndsBeforeIt(t *testing.T) {
	is := is.New(t)
	s := &sender{behaviours: []behaviour{answers}}
	f, stop := newForwarder(s, 6)
	defer stop()
	addGates(f)
	leaving := &refusingDeparture{}
	f.Departure = leaving
	g := f.testGate()
	for range 24 { // all slots
		is.NoErr(g.Acquire(context.Background(), admission.Request{Class: admission.Interactive}))
	}
	answered := make(chan error, 1)
	go func() {
		_, err := f.Do(context.Background(), Request{ID: "x", Route: patient(catalog.NonIdempotent)})
		answered <- err
	}()
	is.True(timer.Poll(timer.Real{}, time.Millisecond, 20*time.Second, nil, func() bool { return g.Waiting(admission.Interactive) == 1 }))
	leaving.refuse.Store(true)
	g.Release(admission.Interactive, admission.Answered, admission.Timing{}, nil)
	err := <-answered
	is.True(problem.Is(err, problem.Leaving))
	is.Equal(problem.From(err).Kind.Outcome, problem.NotRun)
	is.Equal(s.counted().sent, 0)
	_, err = f.Do(context.Background(), Request{ID: "y", Route: patient(catalog.NonIdempotent)})
	is.True(problem.Is(err, problem.Leaving)) // at once, without waiting
}
