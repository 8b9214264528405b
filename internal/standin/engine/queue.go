package engine

import "slices"

// queue assigns slots to requests by priority, and in the order of arrival
// within a priority.
type queue struct {
	slots      int
	maxWaiting int
	running    int
	// waiters are the requests without a slot, the next one first.
	waiters []*waiter
}

// waiter is a request that has a slot or waits for one.
type waiter struct {
	priority int
	// ready is closed when the request has a slot.
	ready chan struct{}
}

// acquire takes a slot, or a queue position if all slots are in use. It returns
// nil if the queue is full as well.
func (q *queue) acquire(priority int) *waiter {
	w := &waiter{
		priority: priority,
		ready:    make(chan struct{}),
	}
	if q.running < q.slots {
		q.running++
		close(w.ready)
		return w
	}
	if len(q.waiters) >= q.maxWaiting {
		return nil
	}
	at := len(q.waiters)
	for at > 0 && q.waiters[at-1].priority < priority {
		at--
	}
	q.waiters = slices.Insert(q.waiters, at, w)
	return w
}

// release removes w from the queue, or passes its slot on to the next waiter.
func (q *queue) release(w *waiter) {
	if i := slices.Index(q.waiters, w); i >= 0 {
		q.waiters = slices.Delete(q.waiters, i, i+1)
		return
	}
	if len(q.waiters) == 0 {
		q.running--
		return
	}
	next := q.waiters[0]
	q.waiters = q.waiters[1:]
	close(next.ready)
}

func (q *queue) waiting() int { return len(q.waiters) }
