package departure

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/standin/property"
)

// drawTimetable returns the timetable of any grace period.
func drawTimetable(t *rapid.T) (Timetable, time.Duration) {
	grace := time.Duration(rapid.IntRange(500, 300_000).Draw(t, "grace")) * time.Millisecond
	return NewTimetable(grace, 8*time.Second, 2500*time.Millisecond), grace
}

// Guards against a timetable that fits one grace period only: with others, connections were cut before
// the last sixth of it, or the process was killed before it had told the store.
func TestTimetableFitsAnyGracePeriod(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		tt, grace := drawTimetable(t)
		if tt.Listen >= tt.Answer || tt.Uncertain >= tt.Answer || tt.Answer >= tt.Close || tt.Close >= tt.Exit || tt.Exit >= grace {
			t.Fatalf("grace %s: %+v is out of order", grace, tt)
		}
		if tt.Answer < grace*5/6 {
			t.Fatalf("grace %s: requests are cut off at %s", grace, tt.Answer)
		}
	})
}

// Guards against a request that is taken late and broken off when the instance ends.
func TestLateRequestEndsBeforeTheInstance(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		tt, _ := drawTimetable(t)
		at := time.Duration(rapid.Int64Range(0, int64(tt.Exit)).Draw(t, "at"))
		c := Forecast{
			Limit:       time.Duration(rapid.Int64Range(1, int64(20*time.Second)).Draw(t, "limit")),
			LongerShare: rapid.Float64Range(0, 1).Draw(t, "longer"),
		}
		fits := at+c.Limit <= tt.Answer
		read := at - time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "waited"))
		if taken := tt.Takes(read, at, c); taken && !fits && read >= tt.Uncertain || !taken && fits {
			t.Fatalf("read at %s, sent at %s of %+v, %+v: taken is %t", read, at, tt, c, taken)
		}
	})
}

// newDeparture returns a departure with a grace period of 8 s on a manual clock.
func newDeparture() (*Departure, *timer.Manual) {
	clock := &timer.Manual{}
	clock.Advance(time.Hour)
	return New(NewTimetable(8*time.Second, 8*time.Second, 2500*time.Millisecond), clock), clock
}

// Guards against streams that a leaving instance takes although those before took longer than it still
// runs, and against refusals for the sake of a rare long one.
func TestRequestsThatProbablyLastTooLongAreRefused(t *testing.T) {
	is := is.New(t)
	d, clock := newDeparture()
	admit := func(r Request) error {
		if r.ReadAt == 0 {
			r.ReadAt = clock.Now()
		}
		return d.Admit(r)
	}
	stream := Request{ID: "1", Route: "live", Limit: 10 * time.Second}
	is.NoErr(admit(stream))
	before := clock.Now()
	for range maxSamples {
		d.Finished("live", stream.Limit, clock.Now().Add(-6*time.Second))
	}
	d.Begin()
	is.NoErr(admit(stream))
	clock.Advance(2 * time.Second) // 5 s are left
	err := admit(stream)
	is.True(problem.Is(err, problem.Leaving))
	is.Equal(problem.From(err).RetryAfter, RetryAfter)
	is.True(problem.Is(admit(Request{ID: "0", Route: "live", ReadAt: before, Limit: 10 * time.Second}), problem.Leaving)) // it waited
	is.NoErr(admit(Request{ID: "2", Route: "unknown", Limit: 10 * time.Second}))
	is.NoErr(admit(Request{ID: "3", Route: "live", Limit: 5 * time.Second}))
	for range maxSamples - maxSamples/16 {
		d.Finished("live", stream.Limit, clock.Now().Add(-time.Second))
	}
	is.NoErr(admit(stream))
	clock.Advance(600 * time.Millisecond) // beyond Uncertain
	is.True(problem.Is(admit(stream), problem.Leaving))
	is.True(problem.Is(admit(Request{ID: "4", Route: "unknown", Limit: 10 * time.Second}), problem.Leaving))
	is.NoErr(admit(Request{ID: "5", Route: "live", Limit: 4 * time.Second}))
	is.NoErr(admit(Request{ID: "6", Route: "live", ReadAt: before, Limit: 10 * time.Second}))
}

// Guards against requests in progress that are cut off without an answer when the instance ends.
func TestRequestsInProgressEndWithACause(t *testing.T) {
	is := is.New(t)
	d, clock := newDeparture()
	d.Begin()
	stop := clock.Run(100*time.Millisecond, time.Millisecond)
	defer stop()
	<-d.Context().Done()
	began, _ := d.Began()
	is.True(clock.Now().Sub(began) >= d.Timetable().Answer)
	is.True(problem.Is(context.Cause(d.Context()), problem.Leaving))
}

// Guards against a memory of routes that grows with each change of the configuration.
func TestDurationsAreBounded(t *testing.T) {
	is := is.New(t)
	d, clock := newDeparture()
	for i := range 10 * maxRoutes {
		for range 2 * maxSamples {
			d.Finished(string(rune('a'+i)), time.Minute, clock.Now())
		}
	}
	is.True(len(d.durations.routes) <= maxRoutes)
	for _, s := range d.durations.routes {
		is.Equal(len(s.ring), maxSamples)
	}
}
