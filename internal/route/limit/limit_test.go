package limit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/limit"
	"github.com/egretbend/egretbend/internal/standin/proof"
)

func ask(caller string, class limit.Class) limit.Ask {
	return limit.Ask{
		Deployment: "d",
		Caller:     caller,
		Class:      class,
		Weight:     1,
		Capacity:   40,
	}
}

// Requests come and go in all classes while upstreams refuse. Callers would
// notice a limit that leaks until nothing is let in, one that lets in more
// than the upstreams hold, or a refusal that doesn't say when to come back.
func TestLimitNeitherLeaksNorOverflows(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		clock := &timer.Manual{}
		clock.Advance(time.Hour)
		l := &limit.Limiter{
			Timer: clock,
		}
		var open []*limit.Pass
		t.Repeat(map[string]func(*rapid.T){
			"admit": func(t *rapid.T) {
				class := rapid.SampledFrom([]limit.Class{limit.Interactive, limit.Training, limit.Background}).Draw(t, "class")
				p, err := l.Admit(ask(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller"), class))
				if err == nil {
					open = append(open, p)
					return
				}
				e := problem.From(err)
				if e.Kind.Outcome != problem.NotRun || e.RetryAfter <= 0 {
					t.Fatalf("a refusal without outcome or time: %v", err)
				}
			},
			"close": func(t *rapid.T) {
				if len(open) == 0 {
					return
				}
				i := rapid.IntRange(0, len(open)-1).Draw(t, "pass")
				open[i].Close(rapid.SampledFrom([]limit.Result{limit.Good, limit.Pushed, limit.Neutral}).Draw(t, "result"))
				open = append(open[:i], open[i+1:]...)
			},
			"wait": func(*rapid.T) { clock.Advance(time.Second) },
			"": func(t *rapid.T) {
				lim, inFlight := l.Limit("d")
				if inFlight != int64(len(open)) {
					t.Fatalf("%d requests are counted, %d are open", inFlight, len(open))
				}
				if lim > 40 || (lim < 2 && lim != 0) {
					t.Fatalf("the limit is %v", lim)
				}
			},
		})
		for _, p := range open {
			p.Close(limit.Neutral)
		}
		if _, err := l.Admit(ask("a", limit.Background)); err != nil {
			t.Fatalf("an empty limit refuses: %v", err)
		}
	})
}

// One caller sends far more than its share. The others would notice that they
// are refused for its sake.
func TestGreedyCallerLeavesRoom(t *testing.T) {
	is := is.New(t)
	clock := &timer.Manual{}
	clock.Advance(time.Hour)
	l := &limit.Limiter{
		Timer: clock,
	}
	p, err := l.Admit(ask("modest", limit.Interactive))
	is.NoErr(err)
	p.Close(limit.Neutral)
	refused := 0
	for range 100 {
		clock.Advance(time.Millisecond)
		if _, err := l.Admit(ask("greedy", limit.Interactive)); err != nil {
			refused++
		}
	}
	is.True(refused > 0)
	_, err = l.Admit(ask("modest", limit.Interactive))
	is.NoErr(err) // there is room for the other one
}

// Upstreams are full. Background work would notice first, panels last.
func TestBackgroundGivesWayFirst(t *testing.T) {
	is := is.New(t)
	clock := &timer.Manual{}
	clock.Advance(time.Hour)
	l := &limit.Limiter{
		Timer: clock,
	}
	busy := func(class limit.Class, used float64) error {
		a := ask("a", class)
		a.Used = used
		p, err := l.Admit(a)
		if err == nil {
			p.Close(limit.Neutral)
		}
		return err
	}
	is.True(busy(limit.Background, 0.8) != nil)
	is.NoErr(busy(limit.Training, 0.8))
	is.True(busy(limit.Training, 1.5) != nil)
	is.NoErr(busy(limit.Interactive, 1.5))
}

// BenchmarkAdmit measures one admission.
func BenchmarkAdmit(b *testing.B) {
	l := &limit.Limiter{
		Timer: timer.Real{},
	}
	a := ask("a", limit.Interactive)
	b.ReportAllocs()
	for b.Loop() {
		p, err := l.Admit(a)
		if err == nil {
			p.Close(limit.Neutral)
		}
	}
}

// Two trainers on different instances want the same engines, and each knows
// the other's use only late. The one with the smaller weight would notice that
// it gets nothing, the other one that its weight is of no use.
func TestShareBoundsAndOpens(t *testing.T) {
	is := is.New(t)
	clock := &timer.Manual{}
	clock.Advance(time.Hour)
	l := &limit.Limiter{
		Timer: clock,
	}
	a := ask("cutting", limit.Training)
	a.Slots = 16
	a.Share = 0.25
	a.Used = 1.5 // above the ceiling of its class: others have filled the slots
	n := 0
	for range 20 {
		if _, err := l.Admit(a); err == nil {
			n++
		}
	}
	is.Equal(n, 5) // a quarter of 1.25 times 16 slots
	a.Share = 1
	_, err := l.Admit(a)
	is.True(err != nil) // alone it has no claim above the ceiling
	a.Used = 0.5
	_, err = l.Admit(a)
	is.NoErr(err) // and no bound below it
}
