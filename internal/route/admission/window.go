package admission

import (
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// Parameters of the windows and the queue.
const (
	// maxWaiting is the maximum number of waiting requests, other than reward calls: these
	// belong to items that the instance holds in any case.
	maxWaiting = 256
	// decreaseInterval is the minimum time between two decreases of a window: all refusals
	// of one burst count as a single signal.
	decreaseInterval = 100 * time.Millisecond
	// interactiveDecrease and lowDecrease multiply the windows after a refusal. The calls of
	// lower classes give way first.
	interactiveDecrease = 0.85
	lowDecrease         = 0.5
	// queuedDecrease multiplies the window of the lower classes when an upstream reports
	// queuedPerSlot waiting requests for each of its slots: so many add about two run times
	// to an interactive request.
	queuedDecrease = 0.9
	queuedPerSlot  = 2
	// lowIncrease is the growth of the window of the lower classes in a window's worth of
	// answers, for each decreaseInterval since the last decrease. Upstreams that queue few
	// requests refuse more than a tenth of the sends if it is larger.
	lowIncrease = 0.2
	// idleIncrease is that growth after an answer of an upstream that reports no waiting
	// request: such an upstream has room.
	idleIncrease = 0.6
	// refusedTarget is the share of refused sends above which the window of the lower classes
	// grows more slowly, and refusedWeight the weight of one send in that share. It keeps
	// refused sends below a tenth also at upstreams that queue few requests.
	refusedTarget = 0.02
	refusedWeight = 0.02
	// maxWindowFactor bounds the window to this multiple of the slots. Upstreams may queue
	// more requests than they have slots.
	maxWindowFactor = 4
	// contentionTime is how long a refusal or a wait counts as a sign of contention.
	contentionTime = time.Second
	// contendedShare is the share of the slots that the lower classes may use during it.
	contendedShare = 0.5
	// forgetAfter is how long after the last refusal a window returns to its start.
	forgetAfter = 10 * time.Second
	// serviceTimeWeight is the weight of a new measurement in the smoothed time of a send.
	serviceTimeWeight = 0.1
	// minAnswerTime is the least time that a request which waits must have left when it is
	// sent; with less, it would time out before an upstream answers.
	minAnswerTime = 20 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the time after which callers are told to
	// retry, before jitter.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// refusedMemory is the number of refused requests that are recognised when they
	// return within refusedFor.
	refusedMemory = 256
	refusedFor    = 2 * time.Second
)

// window is an adaptive concurrency window.
type window struct {
	size float64
	// decreased is set by the first decrease, which ends the fast growth.
	decreased    bool
	lastDecrease timer.Instant
}

// decrease multiplies the window, at most once per decreaseInterval.
func (w *window) decrease(factor float64, now timer.Instant) {
	if w.decreased && now.Sub(w.lastDecrease) < decreaseInterval {
		return
	}
	w.decreased = true
	w.lastDecrease = now
	w.size = max(1, w.size*factor)
}

// SetCapacity sets the total slots of the service's upstreams.
func (g *Gate) SetCapacity(slots float64) {
	slots = max(1, slots)
	if slots == g.slots {
		return
	}
	g.slots = slots
	if !g.interactive.decreased {
		g.interactive.size = max(g.interactive.size, slots)
	}
	if !g.low.decreased {
		g.low.size = g.lowStart()
	}
	g.interactive.size = min(g.interactive.size, maxWindowFactor*slots)
	g.low.size = min(g.low.size, slots)
}

// SetBound sets the number of slots that other instances leave to this one according to load
// reports younger than a second; 0 if there are none.
func (g *Gate) SetBound(slots float64) { g.bound = slots }

// lowStart returns the starting window of the lower classes. An instance does not know how
// many others send such calls to the service at the moment.
func (g *Gate) lowStart() float64 { return max(1, g.slots/2) }

// refusedLately reports whether an upstream refused a request within contentionTime.
func (g *Gate) refusedLately(now timer.Instant) bool {
	return g.refusedEver && now.Sub(g.lastRefusal) < contentionTime
}

// contended reports whether an interactive request waited or was refused within
// contentionTime.
func (g *Gate) contended(now timer.Instant) bool {
	return g.queues[Interactive].length > 0 || g.contendedEver && now.Sub(g.lastContention) < contentionTime
}

func (g *Gate) recordContention(now timer.Instant) {
	g.lastContention = now
	g.contendedEver = true
}

// Window returns the current window of a class. The slots that load reports leave bound only
// interactive requests: instances that send many reward calls would count each other's calls as
// used slots, and the one that began last would be left with a window of one.
func (g *Gate) Window(class Class, now timer.Instant) float64 {
	if class == Interactive {
		size := g.interactive.size
		if g.bound > 0 && g.refusedLately(now) {
			size = min(size, g.bound)
		}
		return max(1, size)
	}
	left := g.slots - float64(g.inFlight[Interactive])
	if g.contended(now) {
		left = min(left, contendedShare*g.slots)
	}
	return max(1, min(left, g.low.size))
}

// Finish ends a send that was in flight.
func (g *Gate) Finish(class Class, result Result, timing Timing, report Report, now timer.Instant) {
	g.inFlight[class]--
	if class != Interactive && result != Ended {
		refused := 0.0
		if result == Refused {
			refused = 1
		}
		g.refusedShare += refusedWeight * (refused - g.refusedShare)
	}
	switch result {
	case Answered:
		g.answered(class, timing, report, now)
	case Refused:
		g.lastRefusal = now
		g.refusedEver = true
		if class == Interactive {
			g.recordContention(now)
			g.interactive.decrease(interactiveDecrease, now)
		}
		g.low.decrease(lowDecrease, now)
		if class != Interactive && now >= g.pausedUntil {
			// An answer ends the pause: the upstreams have room again.
			g.refusals++
			g.pausedUntil = now.Add(Pause(g.refusals, g.Random()))
		}
	case Ended:
	}
}

// answered updates the windows after an answer. A window grows only while at least half of it
// is in use.
func (g *Gate) answered(class Class, timing Timing, report Report, now timer.Instant) {
	smooth(&g.serviceTime[class], timing.Occupied)
	smooth(&g.answerTime[class], timing.Answer)
	if class == Interactive {
		if float64(g.inFlight[Interactive]+1) >= g.interactive.size/2 {
			step := 1.0
			if g.interactive.decreased {
				step = 1 / g.interactive.size
			}
			g.interactive.size = min(g.interactive.size+step, maxWindowFactor*g.slots)
		}
		return
	}
	g.refusals = 0
	g.pausedUntil = min(g.pausedUntil, now)
	if report.Known && report.Waiting >= queuedPerSlot*max(1, report.Slots) {
		g.low.decrease(queuedDecrease, now)
		return
	}
	since := now.Sub(g.low.lastDecrease)
	if g.low.decreased && since < decreaseInterval {
		return
	}
	if float64(g.inFlight[Reward]+g.inFlight[Background]+1) < g.low.size/2 {
		return
	}
	step := 1.0
	if g.low.decreased {
		increase := lowIncrease
		if report.Known && report.Waiting == 0 {
			increase = idleIncrease
		}
		step = min(1, increase*float64(since)/float64(decreaseInterval)/g.low.size)
		step *= min(1, refusedTarget/g.refusedShare)
	}
	g.low.size = min(g.low.size+step, g.slots)
}
