package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/egretbend/egretbend/internal/standin/property"
)

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

// Guards against interactive requests that wait although there is room, because nothing wakes
// them when old load reports stop to bound the window.
func TestWaitersAreWokenWhenReportsAreOld(t *testing.T) {
	is := is.New(t)
	now := at(0)
	g := newGate(8)
	is.True(g.Admit(Interactive, now))
	is.True(g.Admit(Interactive, now))
	g.Finish(Interactive, Refused, Timing{}, Report{}, now)
	g.SetBound(1)
	is.Equal(enqueue(g, Request{Deadline: at(5 * time.Second)}, now).Refusal.Reason, "")
	is.True(g.Next(now) == nil)
	wake, ok := g.WakeAt(now)
	is.True(ok)
	is.Equal(wake, now.Add(contentionTime))
	is.True(g.Next(wake) != nil)
}
