package admission

import (
	"hash/maphash"
	"math"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// Class is the class of a request; lower ones are served first.
type Class uint8

// The classes.
const (
	// Interactive requests have a caller that waits for the answer.
	Interactive Class = iota
	// Reward calls score the texts of a step.
	Reward
	// Background requests can wait for all others.
	Background

	classes = 3
)

// String returns the name of the class in logs and metrics.
func (c Class) String() string { return [classes]string{"interactive", "reward", "background"}[c] }

// Request describes a request to a Gate.
type Request struct {
	// ID identifies the request when its caller sends it again.
	ID           string
	Class        Class
	Organisation string
	// Weight is the weight of the organisation; 0 means 1.
	Weight float64
	// OrganisationPriority takes precedence over RoutePriority; 0 is the highest.
	OrganisationPriority int
	RoutePriority        int
	// Deadline is when the answer is needed. The request is refused once it can't be met;
	// zero means that it waits until it is withdrawn.
	Deadline timer.Instant
	// Due orders requests without a Deadline.
	Due timer.Instant
}

func (r *Request) rank() rank {
	if r.Class != Interactive {
		return rank{}
	}
	return rank{
		organisation: r.OrganisationPriority,
		route:        r.RoutePriority,
	}
}

func (r *Request) weight() float64 {
	if r.Weight == 0 {
		return 1
	}
	return r.Weight
}

func (r *Request) orderedBy() timer.Instant {
	if r.Deadline != 0 {
		return r.Deadline
	}
	return r.Due
}

// Result is how a send ended.
type Result uint8

// The results.
const (
	// Answered means that the upstream answered.
	Answered Result = iota
	// Refused means that the upstream refused the request.
	Refused
	// Ended means that the send ended in another way, which says nothing about the load.
	Ended
)

// Refusal is why and how a request was refused.
type Refusal struct {
	// Reason is empty if the request was not refused.
	Reason       string
	Waiting      int
	Window       float64
	ExpectedWait time.Duration
	RetryAfter   time.Duration
}

// The reasons of refusals.
const (
	// ReasonDeadline means that the request can't be answered before its deadline.
	ReasonDeadline = "deadline"
	// ReasonQueueFull means that too many requests wait.
	ReasonQueueFull = "queue_full"
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
	// answers, for each decreaseInterval since the last decrease. With 0.3 and a decrease by
	// 0.6, 11% of the sends of TestStorm were refused in one of four seeds.
	lowIncrease = 0.2
	// idleIncrease is that growth after an answer of an upstream that reports no waiting request.
	idleIncrease = 0.6
	// refusedTarget is the share of refused sends above which the window of the lower classes
	// grows more slowly, and refusedWeight the weight of one send in that share. Without it,
	// 10% of the sends of TestStorm were refused at upstreams that queue two requests.
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
	// interactive request last waited or was refused; both are valid if contended is set.
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

// refusedRequest is a request that the gate refused.
type refusedRequest struct {
	hash uint64
	at   timer.Instant
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

// refuse returns the refusal of a request and remembers it.
func (g *Gate) refuse(r *Request, reason string, wait time.Duration, now timer.Instant) Refusal {
	if r.ID != "" {
		g.refused[g.refusedNext] = refusedRequest{
			hash: g.hash(r.ID),
			at:   now,
		}
		g.refusedNext = (g.refusedNext + 1) % refusedMemory
	}
	return Refusal{
		Reason:       reason,
		Waiting:      g.queues[r.Class].length,
		Window:       g.Window(r.Class, now),
		ExpectedWait: wait,
		RetryAfter:   Jitter(min(max(wait, minRetryAfter), maxRetryAfter), g.Random()),
	}
}

func (g *Gate) hash(id string) uint64 {
	if g.seed == (maphash.Seed{}) {
		g.seed = maphash.MakeSeed()
	}
	return maphash.String(g.seed, id)
}

// wasRefused reports whether the gate refused this request within refusedFor. Such a request
// often has less time left than those that wait, but must not overtake them.
func (g *Gate) wasRefused(r *Request, now timer.Instant) bool {
	if r.ID == "" {
		return false
	}
	hash := g.hash(r.ID)
	for _, f := range g.refused {
		if f.hash == hash && now.Sub(f.at) < refusedFor {
			return true
		}
	}
	return false
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

// Timing is how long a send took.
type Timing struct {
	// Answer is the time until the answer was complete or, if it streams, began.
	Answer time.Duration
	// Occupied is the time until the send left the upstream.
	Occupied time.Duration
}

// smooth adds a measurement to a smoothed time in nanoseconds.
func smooth(smoothed *float64, measured time.Duration) {
	if measured <= 0 {
		return
	}
	if *smoothed == 0 {
		*smoothed = float64(measured)
	}
	*smoothed += serviceTimeWeight * (float64(measured) - *smoothed)
}

// Report is what the answer of an upstream says about its load.
type Report struct {
	Known   bool
	Waiting int
	Slots   int
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

// WakeAt returns when Next must be called although nothing ends, and whether that is needed.
func (g *Gate) WakeAt(now timer.Instant) (timer.Instant, bool) {
	waiting := g.queues[Reward].length+g.queues[Background].length > 0
	return g.pausedUntil, waiting && now < g.pausedUntil
}

// InFlight returns the number of sends of a class in flight.
func (g *Gate) InFlight(class Class) int { return g.inFlight[class] }

// Waiting returns the number of waiting requests of a class.
func (g *Gate) Waiting(class Class) int { return g.queues[class].length }
