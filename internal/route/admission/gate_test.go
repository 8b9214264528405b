package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/standin/property"
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

// Guards against a window that leaks until nothing is admitted, one that falls below one or
// grows beyond its bound, a waiter that stays although there is room, and requests that are
// refused while none is in flight. Requests of all classes come, wait, start and end at random.
func TestWindowNeitherLeaksNorFallsBelowOne(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		now := at(0)
		slots := rapid.IntRange(1, 12).Draw(t, "slots")
		g := newGate(float64(slots))
		var inFlight [classes]int
		var waiting []*Waiter
		pump := func() {
			for w := g.Next(now); w != nil; w = g.Next(now) {
				inFlight[w.Request.Class]++
				for i, other := range waiting {
					if other == w {
						waiting = append(waiting[:i], waiting[i+1:]...)
						break
					}
				}
			}
		}
		finish := func(class Class, result Result) {
			inFlight[class]--
			took := 30 * time.Millisecond
			g.Finish(class, result, Timing{took, took}, Report{Known: true, Waiting: int(result), Slots: 1}, now)
			pump()
		}
		drawClass := func(t *rapid.T) Class {
			return rapid.SampledFrom([]Class{Interactive, Reward, Background}).Draw(t, "class")
		}
		t.Repeat(map[string]func(*rapid.T){
			"request": func(t *rapid.T) {
				r := Request{
					Class:         drawClass(t),
					Organisation:  rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "organisation"),
					Weight:        rapid.SampledFrom([]float64{0, 0.001, 1, 3}).Draw(t, "weight"),
					RoutePriority: rapid.IntRange(0, 2).Draw(t, "priority"),
				}
				if r.Class != Reward {
					r.Deadline = now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "deadline")) * time.Millisecond)
				}
				idle := r.Class == Interactive && inFlight[Interactive] == 0
				if g.Admit(r.Class, now) {
					inFlight[r.Class]++
					return
				}
				if idle {
					t.Fatalf("an interactive request waits although none is in flight")
				}
				w := enqueue(g, r, now)
				if w.Refusal.Reason == "" {
					waiting = append(waiting, w)
				} else if w.Refusal.RetryAfter <= 0 {
					t.Fatalf("a refusal without a time to retry after")
				}
				pump()
			},
			"end": func(t *rapid.T) {
				class := drawClass(t)
				if inFlight[class] > 0 {
					finish(class, rapid.SampledFrom([]Result{Answered, Refused, Ended}).Draw(t, "result"))
				}
			},
			"leave": func(t *rapid.T) {
				if len(waiting) == 0 {
					return
				}
				i := rapid.IntRange(0, len(waiting)-1).Draw(t, "waiter")
				g.Expire(waiting[i], now)
				waiting = append(waiting[:i], waiting[i+1:]...)
				pump()
			},
			"time passes": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
				pump()
			},
			"bound": func(t *rapid.T) {
				g.SetBound(float64(rapid.IntRange(0, 20).Draw(t, "bound")))
				pump()
			},
			"": func(t *rapid.T) {
				n := 0
				for c := range Class(classes) {
					if g.InFlight(c) != inFlight[c] {
						t.Fatalf("%d %s requests are counted as in flight, %d are", g.InFlight(c), c, inFlight[c])
					}
					if w := g.Window(c, now); w < 1 || w > maxWindowFactor*float64(slots) {
						t.Fatalf("the window of %s is %v of %d slots", c, w, slots)
					}
					n += g.Waiting(c)
				}
				if n != len(waiting) {
					t.Fatalf("%d requests are counted as waiting, %d are", n, len(waiting))
				}
				if g.Waiting(Interactive) > 0 && g.hasRoom(Interactive, now) {
					t.Fatalf("interactive requests wait although there is room")
				}
			},
		})
		for len(waiting) > 0 {
			g.Withdraw(waiting[0])
			waiting = waiting[1:]
		}
		for c := range Class(classes) {
			for inFlight[c] > 0 {
				finish(c, Ended)
			}
		}
		now = now.Add(time.Minute)
		for c := range Class(classes) {
			if !g.Admit(c, now) {
				t.Fatalf("%s is not admitted although nothing is in flight", c)
			}
			g.Finish(c, Ended, Timing{}, Report{}, now)
		}
	})
}

// organisationLoad is an organisation that sends requests at a fixed rate.
type organisationLoad struct {
	weight float64
	// perSecond is how many requests it sends in a second.
	perSecond int
	served    int
}

// maxMinShares returns the weighted max-min shares of a capacity.
func maxMinShares(loads []*organisationLoad, capacity float64) []float64 {
	shares := make([]float64, len(loads))
	done := make([]bool, len(loads))
	for {
		weights, level, lowest := 0.0, 0.0, -1
		for i, l := range loads {
			if !done[i] {
				weights += l.weight
			}
		}
		if weights == 0 {
			return shares
		}
		level = capacity / weights
		for i, l := range loads {
			if !done[i] && float64(l.perSecond) <= l.weight*level {
				lowest = i
				break
			}
		}
		if lowest < 0 {
			for i, l := range loads {
				if !done[i] {
					shares[i] = l.weight * level
				}
			}
			return shares
		}
		done[lowest] = true
		shares[lowest] = float64(loads[lowest].perSecond)
		capacity -= shares[lowest]
	}
}

// checkShares returns a property: over a second in which several organisations compete, each gets
// 0.8 of its share. With separate unset, the gate does not tell the organisations apart.
func checkShares(separate bool) func(*rapid.T) {
	return func(t *rapid.T) {
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		work := time.Duration(rapid.IntRange(15, 60).Draw(t, "work")) * time.Millisecond
		var loads []*organisationLoad
		for range rapid.IntRange(2, 6).Draw(t, "organisations") {
			loads = append(loads, &organisationLoad{
				weight:    float64(rapid.IntRange(1, 4).Draw(t, "weight")),
				perSecond: rapid.SampledFrom([]int{20, 100, 500}).Draw(t, "rate"),
			})
		}
		class := rapid.SampledFrom([]Class{Interactive, Reward}).Draw(t, "class")
		m := newModel(1, 0, 0, true, false)
		g := newGate(float64(slots))
		g.Random = m.random.Float64
		served, measuring := 0, false
		owners := make(map[*Waiter]*organisationLoad)
		var start func(l *organisationLoad)
		pump := func() {
			for w := g.Next(m.now); w != nil; w = g.Next(m.now) {
				start(owners[w])
			}
			if n := g.InFlight(class); g.Waiting(class) > 0 && float64(n+1) <= g.Window(class, m.now) {
				t.Fatalf("%d requests wait with %d in flight and a window of %v", g.Waiting(class), n, g.Window(class, m.now))
			}
		}
		start = func(l *organisationLoad) {
			m.after(work, func() {
				if measuring {
					l.served++
					served++
				}
				g.Finish(class, Answered, Timing{work, work}, Report{}, m.now)
				pump()
			})
		}
		for i, l := range loads {
			for k := range 3 * l.perSecond {
				m.after(time.Duration(k)*time.Second/time.Duration(l.perSecond), func() {
					if g.Admit(class, m.now) {
						start(l)
						return
					}
					r := Request{Class: class, Weight: l.weight}
					if separate {
						r.Organisation = fmt.Sprint(i)
					}
					if class == Interactive {
						r.Deadline = m.now.Add(time.Second)
					}
					w := &Waiter{Request: r}
					owners[w] = l
					g.Enqueue(w, m.now)
					if w.Refusal.Reason == "" && r.Deadline != 0 {
						m.after(w.Expires.Sub(m.now), func() {
							if w.flow != nil {
								g.Expire(w, m.now)
							}
						})
					}
					pump()
				})
			}
		}
		m.runUntil(timer.Instant(2 * time.Second))
		measuring = true
		m.runUntil(timer.Instant(3 * time.Second))
		for i, share := range maxMinShares(loads, float64(served)) {
			// A turn of the round robin, of weight requests, may fall just outside of the second.
			if got := float64(loads[i].served); got < 0.8*share-loads[i].weight {
				t.Fatalf("organisation %d of weight %v with %d a second got %v, its share of %d is %.1f", i, loads[i].weight, loads[i].perSecond, got, served, share)
			}
		}
	}
}

// Guards against an organisation that takes the shares of others by sending more, and against
// room that is left unused while requests wait.
func TestOrganisationsGetTheirShares(t *testing.T) {
	property.CheckN(t, 100, checkShares(true))
	property.CheckFails(t, checkShares(false))
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

// Guards against reward calls that take the slots that interactive requests need: without
// contention they leave those in use, and with it half of the slots.
func TestRewardCallsLeaveSlots(t *testing.T) {
	is := is.New(t)
	now := at(0)
	g := newGate(8)
	g.low.size = 8
	for range 2 {
		is.True(g.Admit(Interactive, now))
	}
	fill(g, Reward, now)
	is.Equal(g.InFlight(Reward), 6)
	g.Finish(Interactive, Refused, Timing{}, Report{}, now)
	g.low.size = 8
	is.Equal(g.Window(Reward, now), 4.0)
	is.Equal(g.Window(Reward, now.Add(contentionTime)), 7.0)
	g.SetBound(3)
	is.Equal(g.Window(Reward, now.Add(contentionTime)), 7.0) // other homes' calls take no slots from it
	queued := Report{Known: true, Waiting: 2 * 2, Slots: 2}
	size := g.low.size
	g.Finish(Reward, Answered, Timing{}, Report{Known: true, Waiting: 2, Slots: 2}, now.Add(contentionTime))
	is.True(g.low.size >= size)
	g.Finish(Reward, Answered, Timing{}, queued, now.Add(contentionTime))
	is.True(g.low.size < size)
}

// Guards against reward calls of steps that wait although upstreams have nothing to do: after a
// decrease, their window grows faster while upstreams report an empty queue.
func TestWindowGrowsFasterWhileNothingWaits(t *testing.T) {
	is := is.New(t)
	grown := func(waiting int) float64 {
		now := at(0)
		g := newGate(8)
		fill(g, Reward, now)
		g.Finish(Reward, Refused, Timing{}, Report{}, now)
		before := g.low.size
		g.Finish(Reward, Answered, Timing{}, Report{Known: true, Waiting: waiting, Slots: 2}, now.Add(2*decreaseInterval))
		return g.low.size - before
	}
	is.True(grown(1) > 0)
	is.True(grown(0) > 2*grown(1))
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

// Guards against an instance that remembers a refusal for good: after a while without any, the
// windows return to their start.
func TestWindowsRecover(t *testing.T) {
	is := is.New(t)
	now := at(0)
	g := newGate(8)
	for range 20 {
		now = now.Add(decreaseInterval)
		g.Enter(Interactive)
		g.Finish(Interactive, Refused, Timing{}, Report{}, now)
	}
	is.Equal(g.Window(Interactive, now), 1.0)
	is.Equal(g.Window(Reward, now), 1.0)
	now = now.Add(forgetAfter)
	fill(g, Interactive, now)
	is.Equal(g.InFlight(Interactive), 8)
	is.Equal(g.low.size, 4.0)
}

// Guards against more requests at a full service than the design page states: each instance may
// have one interactive request there, and each that runs batches one reward call more. An instance
// that has heard nothing starts with the slots of the service, and half of them.
func TestOverAdmission(t *testing.T) {
	is := is.New(t)
	const slots, instances, homes = 10, 58, 4
	admitted := func(refusals int) (interactive, reward int) {
		for i := range instances {
			now := at(0)
			g := newGate(slots)
			for range refusals {
				now = now.Add(decreaseInterval)
				g.Enter(Reward)
				g.Finish(Reward, Refused, Timing{}, Report{}, now)
				g.Enter(Interactive)
				g.Finish(Interactive, Refused, Timing{}, Report{}, now)
			}
			if refusals > 0 {
				now = g.pausedUntil
			}
			if i < homes {
				fill(g, Reward, now)
				reward += g.InFlight(Reward)
			}
			fill(g, Interactive, now)
			interactive += g.InFlight(Interactive)
		}
		return interactive, reward
	}
	interactive, reward := admitted(20)
	is.Equal(interactive, instances)
	is.Equal(reward, homes)
	interactive, reward = admitted(0)
	is.Equal(interactive, instances*slots)
	is.Equal(reward, homes*slots/2)
}

// Guards against pauses after refusals that don't grow, or that all callers share.
func TestPause(t *testing.T) {
	is := is.New(t)
	for refusals, want := range map[int]time.Duration{1: 20, 2: 40, 3: 80, 4: 160, 5: 160, 50: 160} {
		is.Equal(Pause(refusals, 0.5), want*time.Millisecond)
		is.Equal(Pause(refusals, 0), want*time.Millisecond/2)
	}
}
