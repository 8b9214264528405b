package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/standin/property"
)

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
