package admission

import (
	"hash/maphash"
	"math"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// Gate decides on the requests of this instance to one service. It is not safe for
// concurrent use.
type Gate struct {
	// Random returns a random number in [0, 1) for jitter.
	Random func() float64

	slots float64
	// bound is the number of slots that others leave to this instance according to recent
	// load reports; 0 if unknown.
	bound float64

	// interactive is the window of class Interactive, low the one of the other classes.
	interactive window
	low         window
	inFlight    [classes]int
	queues      [classes]queue
	sequence    uint64

	// serviceTime is the smoothed time of a send that was answered, in nanoseconds; 0 if
	// unknown.
	serviceTime [classes]float64
	// answerTime is the smoothed time until an answer begins, which is shorter if it streams.
	answerTime [classes]float64
	// lastRefusal is when an upstream last refused a request, and lastContention when an
	// interactive request last waited or was refused; refusedEver and contendedEver tell whether there was one.
	lastRefusal    timer.Instant
	refusedEver    bool
	lastContention timer.Instant
	contendedEver  bool
	// pausedUntil is the end of the pause of the lower classes after a refusal; refusals
	// counts those in a row.
	pausedUntil timer.Instant
	refusals    int
	// refusedShare is the smoothed share of the sends of the lower classes that upstreams
	// refuse.
	refusedShare float64

	// seed, refused and refusedNext hold the recently refused requests.
	seed        maphash.Seed
	refused     [refusedMemory]refusedRequest
	refusedNext int
}

// hasRoom reports whether one more request of a class may be in flight. The fraction of a
// window is not used.
func (g *Gate) hasRoom(class Class, now timer.Instant) bool {
	if class == Interactive {
		n := g.inFlight[Interactive]
		return n == 0 || float64(n+1) <= g.Window(class, now)
	}
	if now < g.pausedUntil {
		return false
	}
	return float64(g.inFlight[Reward]+g.inFlight[Background]+1) <= g.Window(class, now)
}

// restore returns to the starting windows once no upstream has refused for forgetAfter.
func (g *Gate) restore(now timer.Instant) {
	if g.refusedEver && now.Sub(g.lastRefusal) >= forgetAfter {
		g.refusedEver = false
		g.interactive = window{size: max(g.interactive.size, g.slots)}
		g.low = window{size: max(g.low.size, g.lowStart())}
		g.refusals = 0
	}
}

// Admit admits a request if it need not wait, and counts it as in flight.
func (g *Gate) Admit(class Class, now timer.Instant) bool {
	g.restore(now)
	for c := range class + 1 {
		if g.queues[c].length > 0 {
			return false
		}
	}
	if !g.hasRoom(class, now) {
		return false
	}
	g.inFlight[class]++
	return true
}

// Enter counts a send as in flight whether or not there is room, for one that replaces a send
// that was not refused.
func (g *Gate) Enter(class Class) { g.inFlight[class]++ }

// AdmitHedge admits an additional send of a request in flight only if nothing waits, no
// upstream has refused lately and there is room.
func (g *Gate) AdmitHedge(class Class, now timer.Instant) bool {
	if g.refusedLately(now) {
		return false
	}
	for c := range Class(classes) {
		if g.queues[c].length > 0 {
			return false
		}
	}
	return g.Admit(class, now)
}

// Enqueue lets w wait, or sets w.Refusal if it can't be answered in time or too many wait. It
// returns another waiter that is refused in favour of w, if any.
func (g *Gate) Enqueue(w *Waiter, now timer.Instant) (evicted *Waiter) {
	r := &w.Request
	if r.Class == Interactive {
		g.recordContention(now)
	}
	wait := g.expectedWait(r, now)
	w.Since = now
	w.Expires = math.MaxInt64
	w.index = -1
	if r.Deadline != 0 {
		run := max(time.Duration(g.answerTime[r.Class]), minAnswerTime)
		if r.Stream {
			run = max(run, time.Duration(g.serviceTime[r.Class]))
		}
		w.Expires = r.Deadline.Add(-run)
		if now.Add(wait) > w.Expires {
			w.Refusal = g.refuse(r, ReasonDeadline, wait, now)
			return nil
		}
	}
	if r.Class != Reward && g.queues[Interactive].length+g.queues[Background].length >= maxWaiting {
		evicted = g.evict(r)
		if evicted == nil {
			w.Refusal = g.refuse(r, ReasonQueueFull, wait, now)
			return nil
		}
		evicted.Refusal = g.refuse(&evicted.Request, ReasonQueueFull, g.expectedWait(&evicted.Request, now), now)
	}
	g.sequence++
	w.sequence = g.sequence
	g.queues[r.Class].push(w, g.wasRefused(r, now))
	return evicted
}

// evict removes and returns a waiter in favour of a request: one of a worse rank, or the last one
// of the organisation that has the most waiting for its weight, so that a single organisation
// can't fill the queue. It returns nil if the request itself is the one to refuse.
func (g *Gate) evict(r *Request) *Waiter {
	q := &g.queues[Background]
	if q.length == 0 {
		q = &g.queues[Interactive]
	}
	worst := q.levels[len(q.levels)-1]
	longest := worst.longest()
	if q == &g.queues[r.Class] {
		switch c := compareRanks(r.rank(), worst.rank); {
		case c > 0:
			return nil
		case c == 0:
			own := 1
			if f := worst.byName[r.Organisation]; f != nil {
				own += len(f.waiters)
			}
			if float64(own)/max(minWeight, r.weight()) >= longest.perWeight() {
				return nil
			}
		}
	} else if r.Class > Interactive {
		return nil
	}
	w := longest.latest()
	q.remove(w)
	return w
}

// expectedWait returns the expected time until a new request of this kind starts, or 0 while
// the time of sends is unknown.
func (g *Gate) expectedWait(r *Request, now timer.Instant) time.Duration {
	ahead := g.queues[r.Class].ahead(r)
	for c := range r.Class {
		ahead += float64(g.queues[c].length)
	}
	return time.Duration((ahead + 1) * g.serviceTime[r.Class] / g.Window(r.Class, now))
}

// Next removes the next waiter that may start now, counts it as in flight and returns it, or
// nil if there is none.
func (g *Gate) Next(now timer.Instant) *Waiter {
	for c := range Class(classes) {
		if g.queues[c].length == 0 {
			continue
		}
		if !g.hasRoom(c, now) {
			if c == Interactive {
				continue // reward calls have a window of their own
			}
			return nil
		}
		w := g.queues[c].pop()
		g.inFlight[c]++
		if c == Interactive {
			g.recordContention(now)
		}
		return w
	}
	return nil
}

// Drop removes and refuses any waiter, or returns nil if there is none.
func (g *Gate) Drop(reason string, now timer.Instant) *Waiter {
	for c := range Class(classes) {
		if w := g.queues[c].pop(); w != nil {
			w.Refusal = g.refuse(&w.Request, reason, 0, now)
			return w
		}
	}
	return nil
}

// Expire refuses a waiter whose wait is over.
func (g *Gate) Expire(w *Waiter, now timer.Instant) {
	g.Withdraw(w)
	if w.Request.Class == Interactive {
		g.recordContention(now)
	}
	w.Refusal = g.refuse(&w.Request, ReasonDeadline, g.expectedWait(&w.Request, now), now)
}

// Withdraw removes a waiter, if it still waits.
func (g *Gate) Withdraw(w *Waiter) {
	if w.flow != nil {
		g.queues[w.Request.Class].remove(w)
	}
}

// WakeAt returns when Next must be called although nothing ends, and whether that is needed.
func (g *Gate) WakeAt(now timer.Instant) (timer.Instant, bool) {
	if reports := g.lastRefusal.Add(contentionTime); g.queues[Interactive].length > 0 && g.refusedEver && now < reports {
		return reports, true
	}
	waiting := g.queues[Reward].length+g.queues[Background].length > 0
	return g.pausedUntil, waiting && now < g.pausedUntil
}

// InFlight returns the number of sends of a class in flight.
func (g *Gate) InFlight(class Class) int { return g.inFlight[class] }

// Waiting returns the number of waiting requests of a class.
func (g *Gate) Waiting(class Class) int { return g.queues[class].length }
