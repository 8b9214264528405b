package limit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/limit"
	"github.com/egretbend/egretbend/internal/standin/property"
)

func newRequest(caller string, class limit.Priority) limit.Request {
	return limit.Request{
		Deployment: "d",
		Caller:     caller,
		Priority:   class,
		Weight:     1,
		Capacity:   40,
	}
}

// Guards against a limit that leaks until nothing is admitted, one that exceeds the
// capacity of the upstreams, and a refusal without a retry delay. Requests of all
// classes start and end at random while upstreams refuse.
func TestLimitNeitherLeaksNorOverflows(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		clock := &timer.Manual{}
		clock.Advance(time.Hour)
		l := &limit.Limiter{
			Timer: clock,
		}
		var open []*limit.Permit
		t.Repeat(map[string]func(*rapid.T){
			"admit": func(t *rapid.T) {
				class := rapid.SampledFrom([]limit.Priority{limit.Interactive, limit.Training, limit.Background}).Draw(t, "class")
				p, err := l.Admit(newRequest(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller"), class))
				if err == nil {
					open = append(open, p)
					return
				}
				e := problem.From(err)
				if e.Kind.Outcome != problem.NotRun || e.RetryAfter <= 0 {
					t.Fatalf("a refusal without outcome or retry delay: %v", err)
				}
			},
			"close": func(t *rapid.T) {
				if len(open) == 0 {
					return
				}
				i := rapid.IntRange(0, len(open)-1).Draw(t, "pass")
				open[i].Release(rapid.SampledFrom([]limit.Result{limit.Succeeded, limit.Overloaded, limit.Ignored}).Draw(t, "result"))
				open = append(open[:i], open[i+1:]...)
			},
			"wait": func(*rapid.T) { clock.Advance(time.Second) },
			"": func(t *rapid.T) {
				lim, inFlight := l.Limit("d")
				if inFlight != int64(len(open)) {
					t.Fatalf("%d requests are counted as in flight, %d are open", inFlight, len(open))
				}
				if lim > 40 || (lim < 2 && lim != 0) {
					t.Fatalf("the limit is %v", lim)
				}
			},
		})
		for _, p := range open {
			p.Release(limit.Ignored)
		}
		if _, err := l.Admit(newRequest("a", limit.Background)); err != nil {
			t.Fatalf("refused without any request in flight: %v", err)
		}
	})
}

// Guards against a caller that sends far more than its share and causes the requests of
// others to be refused.
func TestCallerAboveShareIsRefusedFirst(t *testing.T) {
	is := is.New(t)
	clock := &timer.Manual{}
	clock.Advance(time.Hour)
	l := &limit.Limiter{
		Timer: clock,
	}
	p, err := l.Admit(newRequest("modest", limit.Interactive))
	is.NoErr(err)
	p.Release(limit.Ignored)
	refused := 0
	for range 100 {
		clock.Advance(time.Millisecond)
		if _, err := l.Admit(newRequest("greedy", limit.Interactive)); err != nil {
			refused++
		}
	}
	is.True(refused > 0)
	_, err = l.Admit(newRequest("modest", limit.Interactive))
	is.NoErr(err) // the other caller's share is free
}

// Guards against refusals in the wrong order when upstreams are full: background
// requests are refused first, interactive ones last.
func TestBackgroundIsRefusedFirst(t *testing.T) {
	is := is.New(t)
	clock := &timer.Manual{}
	clock.Advance(time.Hour)
	l := &limit.Limiter{
		Timer: clock,
	}
	admitAt := func(class limit.Priority, used float64) error {
		req := newRequest("a", class)
		req.Usage = used
		p, err := l.Admit(req)
		if err == nil {
			p.Release(limit.Ignored)
		}
		return err
	}
	is.True(admitAt(limit.Background, 0.8) != nil)
	is.NoErr(admitAt(limit.Training, 0.8))
	is.True(admitAt(limit.Training, 1.5) != nil)
	is.NoErr(admitAt(limit.Interactive, 1.5))
}

// BenchmarkAdmit measures admitting a request and releasing its permit.
func BenchmarkAdmit(b *testing.B) {
	l := &limit.Limiter{
		Timer: timer.Real{},
	}
	req := newRequest("a", limit.Interactive)
	b.ReportAllocs()
	for b.Loop() {
		p, err := l.Admit(req)
		if err == nil {
			p.Release(limit.Ignored)
		}
	}
}

// Guards against two trainers on different instances that share the engines regardless
// of their weights: each learns the other's usage only late, so the one with the smaller
// weight could get nothing, and the weight of the other could have no effect.
func TestClaimedShareBoundsAndAdmits(t *testing.T) {
	is := is.New(t)
	clock := &timer.Manual{}
	clock.Advance(time.Hour)
	l := &limit.Limiter{
		Timer: clock,
	}
	req := newRequest("cutting", limit.Training)
	req.Slots = 16
	req.ClaimedShare = 0.25
	req.Usage = 1.5 // above the maximum usage of its class: others have filled the slots
	n := 0
	for range 20 {
		if _, err := l.Admit(req); err == nil {
			n++
		}
	}
	is.Equal(n, 5) // a quarter of 1.25 times 16 slots
	req.ClaimedShare = 1
	_, err := l.Admit(req)
	is.True(err != nil) // a caller that is alone has no claim above the maximum usage
	req.Usage = 0.5
	_, err = l.Admit(req)
	is.NoErr(err) // and is not bounded below it
}
