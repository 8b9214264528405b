package engine

import "slices"

// queue gives slots to requests, the highest priority first.
type queue struct {
	slots   int
	most    int
	running int
	heap    []*waiter
}

type waiter struct {
	priority int
	ready    chan struct{}
}

// enter takes a slot or a place in the queue. It returns nil when both are
// full.
func (q *queue) enter(priority int) *waiter {
	w := &waiter{
		priority: priority,
		ready:    make(chan struct{}),
	}
	if q.running < q.slots {
		q.running++
		close(w.ready)
		return w
	}
	if len(q.heap) >= q.most {
		return nil
	}
	at := len(q.heap)
	for at > 0 && q.heap[at-1].priority < priority {
		at--
	}
	q.heap = slices.Insert(q.heap, at, w)
	return w
}

// leave gives a waiter's slot or place back.
func (q *queue) leave(w *waiter) {
	if i := slices.Index(q.heap, w); i >= 0 {
		q.heap = slices.Delete(q.heap, i, i+1)
		return
	}
	if len(q.heap) == 0 {
		q.running--
		return
	}
	next := q.heap[0]
	q.heap = q.heap[1:]
	close(next.ready)
}

func (q *queue) waiting() int { return len(q.heap) }
