package forward

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/admission"
	"github.com/egretbend/egretbend/internal/route/catalog"
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
