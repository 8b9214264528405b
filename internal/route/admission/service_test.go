package admission

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/upstream"
)

func newSet(upstreams, slots int) *upstream.Set {
	s := &upstream.Set{Total: upstreams}
	for i := range upstreams {
		s.Upstreams = append(s.Upstreams, &upstream.Upstream{
			ID:    fmt.Sprint("u", i),
			Slots: slots,
		})
	}
	return s
}

// awaitWaiting returns once n requests of a class wait.
func awaitWaiting(s *Service, class Class, n int) {
	for {
		s.mu.Lock()
		waiting := s.gate.Waiting(class)
		s.mu.Unlock()
		if waiting == n {
			return
		}
		runtime.Gosched()
	}
}

// Guards against a request that is lost while it waits: each one must start, be refused at its
// deadline, or be withdrawn, and leave the gate as it was.
func TestWaitingRequestStartsExpiresOrLeaves(t *testing.T) {
	is := is.New(t)
	clock := &timer.Manual{}
	clock.Advance(time.Hour)
	gates := &Gates{Timer: clock}
	s := gates.Service("s", newSet(1, 1))
	is.True(gates.Service("s", s.set.Load()) == s)
	wait := func(ctx context.Context, deadline time.Duration) chan error {
		c := make(chan error, 1)
		go func() {
			c <- s.Acquire(ctx, Request{Deadline: clock.Now().Add(deadline)})
		}()
		awaitWaiting(s, Interactive, 1)
		return c
	}
	is.NoErr(s.Acquire(context.Background(), Request{}))

	started := wait(context.Background(), time.Second)
	s.Release(Interactive, Ended, Timing{}, nil)
	is.NoErr(<-started)

	expired := wait(context.Background(), time.Second)
	clock.Advance(time.Second)
	var refusal *RefusalError
	is.True(errors.As(<-expired, &refusal))
	is.Equal(refusal.Reason, ReasonDeadline)

	ctx, cancel := context.WithCancel(context.Background())
	left := wait(ctx, time.Second)
	cancel()
	is.True(errors.Is(<-left, context.Canceled))
	awaitWaiting(s, Interactive, 0)
	s.Release(Interactive, Ended, Timing{}, nil)
	is.Equal(s.gate.InFlight(Interactive), 0)
}

// Guards against reward calls that nothing wakes after the pause that follows a refusal.
func TestPauseOfRewardCallsEnds(t *testing.T) {
	is := is.New(t)
	clock := &timer.Manual{}
	clock.Advance(time.Hour)
	s := (&Gates{Timer: clock}).Service("s", newSet(2, 2))
	is.NoErr(s.Acquire(context.Background(), Request{Class: Reward}))
	s.Release(Reward, Refused, Timing{}, nil)
	started := make(chan error, 1)
	go func() { started <- s.Acquire(context.Background(), Request{Class: Reward}) }()
	awaitWaiting(s, Reward, 1)
	stop := clock.Run(10*time.Millisecond, 100*time.Microsecond)
	defer stop()
	is.NoErr(<-started)
}

// Guards against lost or doubled admissions when many requests come, end and leave at the same
// time.
func TestConcurrentRequestsLeaveNothingBehind(t *testing.T) {
	is := is.New(t)
	clock := &timer.Manual{}
	clock.Advance(time.Hour)
	reg := prometheus.NewRegistry()
	gates := &Gates{Timer: clock}
	gates.Metrics = NewMetrics(reg, gates)
	defer clock.Run(5*time.Millisecond, 50*time.Microsecond)()
	s := gates.Service("s", newSet(2, 2))
	var wg sync.WaitGroup
	for i := range 400 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			class := Class(i % 2)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			r := Request{Class: class, Organisation: fmt.Sprint(i % 7)}
			if class == Interactive {
				r.Deadline = clock.Now().Add(50 * time.Millisecond)
			}
			if i%5 == 0 {
				go cancel()
			}
			if s.Acquire(ctx, r) != nil {
				return
			}
			runtime.Gosched()
			s.Release(class, Result(i%3), Timing{time.Millisecond, time.Millisecond}, nil)
		}()
	}
	wg.Wait()
	for c := range Class(classes) {
		is.Equal(s.gate.InFlight(c), 0)
		is.Equal(s.gate.Waiting(c), 0)
	}
	families, err := reg.Gather()
	is.NoErr(err)
	names := make(map[string]bool)
	for _, f := range families {
		names[f.GetName()] = true
	}
	for _, name := range []string{"waiting", "in_flight", "window"} {
		is.True(names["egretbend_admission_"+name])
	}
}

// BenchmarkAdmit measures the admission of a request that need not wait, and its release, at a
// gate that requests of 10,000 organisations have passed.
func BenchmarkAdmit(b *testing.B) {
	gates := &Gates{Timer: timer.Real{}}
	set := newSet(40, 8)
	requests := make([]Request, 10_000)
	for i := range requests {
		requests[i] = Request{
			ID:           fmt.Sprint("request-", i),
			Organisation: fmt.Sprint("organisation-", i),
			Deadline:     timer.Real{}.Now().Add(time.Hour),
		}
	}
	ctx := context.Background()
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		s := gates.Service("s", set)
		if err := s.Acquire(ctx, requests[i%len(requests)]); err != nil {
			b.Fatal(err)
		}
		s.Release(Interactive, Answered, Timing{time.Millisecond, time.Millisecond}, nil)
		i++
	}
}

// Guards against admitting as many requests as if a cold upstream took its share, and against
// holding them back when it is warm.
func TestColdUpstreamsLowerTheCapacity(t *testing.T) {
	is := is.New(t)
	clock := &timer.Manual{}
	clock.Advance(time.Hour)
	gates := &Gates{Timer: clock}
	set := newSet(2, 4)
	set.Upstreams[0].RecordColdness(time.Second, clock.Now(), clock.Now())
	s := gates.Service("s", set)
	is.Equal(s.gate.slots, 4.0)
	clock.Advance(time.Second)
	is.NoErr(s.Acquire(context.Background(), Request{}))
	is.Equal(s.gate.slots, 8.0)
}

// Guards against a gate that a request with the upstreams from before a total evacuation opens
// again: the requests that wait there would only be refused at their deadlines.
func TestOutdatedUpstreamsLeaveGateClosed(t *testing.T) {
	is := is.New(t)
	clock := &timer.Manual{}
	clock.Advance(time.Hour)
	gates := &Gates{Timer: clock}
	old, current := newSet(1, 1), &upstream.Set{}
	s := gates.Service("s", old)
	is.NoErr(s.Acquire(context.Background(), Request{}))
	gates.Refresh(func(string) *upstream.Set { return current })
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for _, name := range []string{"s", "new"} {
		s := gates.Service(name, old)
		s.gate.Enter(Interactive)
		var refusal *RefusalError
		is.True(errors.As(s.Acquire(ctx, Request{Deadline: clock.Now().Add(time.Hour)}), &refusal))
		is.Equal(refusal.Reason, ReasonNoUpstream)
	}
	current = newSet(1, 8)
	is.NoErr(gates.Service("s", current).Acquire(context.Background(), Request{}))
}
