package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

func newGate(slots float64) *Gate {
	g := &Gate{Random: func() float64 { return 0.5 }}
	g.SetCapacity(slots)
	return g
}

// at returns the instant d after an hour, as instants in tests are not near zero.
func at(d time.Duration) timer.Instant { return timer.Instant(time.Hour).Add(d) }

// enqueue lets a request wait and returns its waiter.
func enqueue(g *Gate, r Request, now timer.Instant) *Waiter {
	w := &Waiter{Request: r}
	g.Enqueue(w, now)
	return w
}

// fill admits requests of a class until the gate has no more room.
func fill(g *Gate, class Class, now timer.Instant) {
	for g.Admit(class, now) {
	}
}

// answer ends one request in flight and returns the one that starts in its place.
func answer(g *Gate, class Class, now timer.Instant) *Waiter {
	took := 20 * time.Millisecond
	g.Finish(class, Answered, Timing{took, took}, Report{}, now)
	return g.Next(now)
}

// Guards against a wrong order of waiting requests: the organisation's priority comes before the
// route's, that before the deadline, and interactive requests before reward calls.
func TestOrderOfWaitingRequests(t *testing.T) {
	is := is.New(t)
	now := at(0)
	g := newGate(1)
	fill(g, Interactive, now)
	fill(g, Reward, now)
	third := enqueue(g, Request{OrganisationPriority: 1, Deadline: at(time.Second)}, now)
	second := enqueue(g, Request{RoutePriority: 1, Deadline: at(time.Second)}, now)
	first := enqueue(g, Request{Deadline: at(2 * time.Second)}, now)
	earlier := enqueue(g, Request{Deadline: at(time.Second)}, now)
	dueLater := enqueue(g, Request{Class: Reward, Due: at(time.Minute)}, now)
	dueSooner := enqueue(g, Request{Class: Reward, Due: at(time.Second)}, now)
	for _, w := range []*Waiter{earlier, first, second, third} {
		g.interactive.size = 1 // rules out that the window grows
		is.True(answer(g, Interactive, now) == w)
	}
	for _, w := range []*Waiter{dueSooner, dueLater} {
		g.low.size = 1
		is.True(answer(g, Reward, now) == w)
	}
}

// Guards against a request that is held although it can't be answered in time, and against a
// Retry-After that does not tell when there is room.
func TestHopelessRequestIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	now := at(0)
	g := newGate(1)
	is.True(g.Admit(Interactive, now))
	g.Finish(Interactive, Answered, Timing{100 * time.Millisecond, 100 * time.Millisecond}, Report{}, now)
	g.interactive.size = 1
	fill(g, Interactive, now)
	for range 5 {
		is.Equal(enqueue(g, Request{Organisation: "a", Deadline: at(time.Second)}, now).Refusal.Reason, "")
	}
	w := enqueue(g, Request{Organisation: "a", Deadline: at(500 * time.Millisecond)}, now)
	is.Equal(w.Refusal.Reason, "") // it has the earliest deadline of its organisation
	w = enqueue(g, Request{Organisation: "a", Deadline: at(1001 * time.Millisecond)}, now)
	is.Equal(w.Refusal.Reason, "")
	w = enqueue(g, Request{Organisation: "b", OrganisationPriority: 1, Deadline: at(700 * time.Millisecond)}, now)
	is.Equal(w.Refusal.Reason, ReasonDeadline)
	is.Equal(w.Refusal.Waiting, 7)
	is.Equal(w.Refusal.ExpectedWait, 800*time.Millisecond)
	is.Equal(w.Refusal.RetryAfter, 800*time.Millisecond) // with a jitter factor of 1
}

// Guards against a stream that waits until it can begin, but not end, before its deadline, and is broken off
// then.
func TestStreamThatCannotEndInTimeIsRefused(t *testing.T) {
	is := is.New(t)
	now := at(0)
	g := newGate(1)
	is.True(g.Admit(Interactive, now))
	g.Finish(Interactive, Answered, Timing{10 * time.Millisecond, 4 * time.Second}, Report{}, now)
	g.interactive.size = 1
	fill(g, Interactive, now)
	w := enqueue(g, Request{Stream: true, Deadline: at(10 * time.Second)}, now) // begins after 4 s
	is.Equal(w.Refusal.Reason, "")
	is.Equal(w.Expires, at(6*time.Second))
	w = enqueue(g, Request{Stream: true, Deadline: at(10 * time.Second)}, now) // after 8 s
	is.Equal(w.Refusal.Reason, ReasonDeadline)
	w = enqueue(g, Request{Deadline: at(10 * time.Second)}, now)
	is.Equal(w.Refusal.Reason, "")
}

// Guards against a client that is refused, returns at once with less time left and therefore
// overtakes requests that have waited.
func TestRetryOfRefusedRequestDoesNotOvertake(t *testing.T) {
	is := is.New(t)
	now := at(0)
	g := newGate(1)
	is.True(g.Admit(Interactive, now))
	g.Finish(Interactive, Answered, Timing{50 * time.Millisecond, 50 * time.Millisecond}, Report{}, now)
	g.interactive.size = 1
	fill(g, Interactive, now)
	is.Equal(enqueue(g, Request{ID: "again", Deadline: at(60 * time.Millisecond)}, now).Refusal.Reason, ReasonDeadline)
	waited := enqueue(g, Request{ID: "waited", Deadline: at(time.Second)}, now)
	again := enqueue(g, Request{ID: "again", Deadline: at(400 * time.Millisecond)}, now)
	g.interactive.size = 1
	is.True(answer(g, Interactive, now) == waited)
	g.interactive.size = 1
	is.True(answer(g, Interactive, now) == again)
}

// Guards against one organisation that fills the queue so that the requests of others are
// refused.
func TestFullQueueRefusesTheLongest(t *testing.T) {
	is := is.New(t)
	now := at(0)
	g := newGate(1)
	fill(g, Interactive, now)
	for range maxWaiting {
		is.Equal(enqueue(g, Request{Organisation: "greedy", Deadline: at(time.Second)}, now).Refusal.Reason, "")
	}
	is.Equal(enqueue(g, Request{Organisation: "greedy", Deadline: at(time.Second)}, now).Refusal.Reason, ReasonQueueFull)
	is.Equal(enqueue(g, Request{Organisation: "modest", Deadline: at(time.Second)}, now).Refusal.Reason, "")
	is.Equal(g.Waiting(Interactive), maxWaiting)
	is.Equal(enqueue(g, Request{Organisation: "greedy", OrganisationPriority: 1, Deadline: at(time.Second)}, now).Refusal.Reason, ReasonQueueFull)
	is.Equal(enqueue(g, Request{Class: Reward}, now).Refusal.Reason, "")
}

// Guards against hedging that adds load to a service that refuses or that requests wait for.
func TestHedgeNeedsRoom(t *testing.T) {
	is := is.New(t)
	now := at(0)
	g := newGate(2)
	is.True(g.Admit(Interactive, now))
	is.True(g.AdmitHedge(Interactive, now))
	is.True(!g.AdmitHedge(Interactive, now)) // the window is used up
	w := enqueue(g, Request{Deadline: at(time.Second)}, now)
	g.inFlight[Interactive]--
	is.True(!g.AdmitHedge(Interactive, now)) // a request waits
	g.Withdraw(w)
	is.True(g.AdmitHedge(Interactive, now))
	g.Finish(Interactive, Refused, Timing{}, Report{}, now)
	g.Finish(Interactive, Ended, Timing{}, Report{}, now)
	is.True(!g.AdmitHedge(Interactive, now.Add(contentionTime-1)))
	is.True(g.AdmitHedge(Interactive, now.Add(contentionTime)))
}

// Guards against pauses after refusals that don't grow, or that all callers share.
func TestPause(t *testing.T) {
	is := is.New(t)
	for refusals, want := range map[int]time.Duration{1: 20, 2: 40, 3: 80, 4: 160, 5: 160, 50: 160} {
		is.Equal(Pause(refusals, 0.5), want*time.Millisecond)
		is.Equal(Pause(refusals, 0), want*time.Millisecond/2)
	}
}
