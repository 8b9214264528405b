package admission

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// Waiter is a request that waits at a Gate.
type Waiter struct {
	Request Request
	// Since is when it began to wait, and Expires the end of its wait.
	Since   timer.Instant
	Expires timer.Instant
	// Refusal is set if it was refused.
	Refusal Refusal

	// order is its deadline, or later for one that was refused a moment ago.
	order    timer.Instant
	sequence uint64
	flow     *flow
	// index is its position in the heap of its flow, -1 if it does not wait.
	index int
	// decided is closed by Service when the request may be sent or is refused.
	decided chan struct{}
}

// rank orders levels; lower ones are served first.
type rank struct{ organisation, route int }

func compareRanks(a, b rank) int {
	return cmp.Or(cmp.Compare(a.organisation, b.organisation), cmp.Compare(a.route, b.route))
}

// queue holds the waiting requests of one class by level.
type queue struct {
	levels []*level
	length int
}

// level holds the waiting requests of one rank. Its flows are served by deficit round
// robin, beginning with the first.
type level struct {
	rank   rank
	flows  []*flow
	byName map[string]*flow
	length int
	// granted is set once the first flow got its quantum for its present turn.
	granted bool
}

// flow holds the waiting requests of one organisation, earliest deadline first. It exists
// only while it has any.
type flow struct {
	level        *level
	organisation string
	weight       float64
	deficit      float64
	waiters      waiterHeap
	// last is the latest order that any of its requests had.
	last timer.Instant
}

// perWeight returns the number of waiting requests for the weight.
func (f *flow) perWeight() float64 { return float64(len(f.waiters)) / f.weight }

// latest returns the waiter that would be served last.
func (f *flow) latest() *Waiter {
	last := 0
	for i := range f.waiters {
		if f.waiters.Less(last, i) {
			last = i
		}
	}
	return f.waiters[last]
}

// longest returns the flow with the most waiting requests for its weight.
func (l *level) longest() *flow {
	return slices.MaxFunc(l.flows, func(a, b *flow) int { return cmp.Compare(a.perWeight(), b.perWeight()) })
}

// waiterHeap implements heap.Interface.
type waiterHeap []*Waiter

func (h waiterHeap) Len() int { return len(h) }
func (h waiterHeap) Less(i, j int) bool {
	if h[i].order != h[j].order {
		return h[i].order < h[j].order
	}
	return h[i].sequence < h[j].sequence
}
func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *waiterHeap) Push(x any) {
	w := x.(*Waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *waiterHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	w.index = -1
	return w
}

// minWeight bounds the rounds until an organisation of small weight is served.
const minWeight = 0.01

// levelFor returns the level of a rank, which it creates if needed.
func (q *queue) levelFor(r rank) *level {
	i, found := slices.BinarySearchFunc(q.levels, r, func(l *level, r rank) int { return compareRanks(l.rank, r) })
	if !found {
		q.levels = slices.Insert(q.levels, i, &level{
			rank:   r,
			byName: make(map[string]*flow),
		})
	}
	return q.levels[i]
}

// push adds a waiter. If last is set, it is placed behind all others of its organisation.
func (q *queue) push(w *Waiter, last bool) {
	l := q.levelFor(w.Request.rank())
	f := l.byName[w.Request.Organisation]
	if f == nil {
		f = &flow{
			level:        l,
			organisation: w.Request.Organisation,
		}
		l.byName[f.organisation] = f
		l.flows = append(l.flows, f)
	}
	f.weight = max(minWeight, w.Request.weight())
	w.order = w.Request.orderedBy()
	if last {
		w.order = max(w.order, f.last)
	}
	f.last = max(f.last, w.order)
	w.flow = f
	heap.Push(&f.waiters, w)
	l.length++
	q.length++
}

// pop removes and returns the waiter that is served next, or nil if there is none.
func (q *queue) pop() *Waiter {
	if q.length == 0 {
		return nil
	}
	l := q.levels[0]
	f := l.nextTurn()
	f.deficit--
	w := f.waiters[0]
	q.remove(w)
	return w
}

// nextTurn returns the flow whose turn it is, which has a deficit of at least one.
func (l *level) nextTurn() *flow {
	for {
		f := l.flows[0]
		if !l.granted {
			f.deficit += f.weight
			l.granted = true
		}
		if f.deficit >= 1 {
			return f
		}
		copy(l.flows, l.flows[1:])
		l.flows[len(l.flows)-1] = f
		l.granted = false
	}
}

// remove takes a waiter out of the queue, and its flow and level if these become empty.
func (q *queue) remove(w *Waiter) {
	f, l := w.flow, w.flow.level
	heap.Remove(&f.waiters, w.index)
	w.flow = nil
	l.length--
	q.length--
	if len(f.waiters) > 0 {
		return
	}
	if l.flows[0] == f {
		l.granted = false
	}
	delete(l.byName, f.organisation)
	l.flows = slices.DeleteFunc(l.flows, func(other *flow) bool { return other == f })
	if len(l.flows) > 0 {
		return
	}
	q.levels = slices.DeleteFunc(q.levels, func(other *level) bool { return other == l })
}

// ahead estimates how many waiting requests are served before a new one with this rank and
// order: those of better ranks, and of its own rank as many as the round robin serves before
// its turn.
func (q *queue) ahead(r *Request) float64 {
	n := 0.0
	for _, l := range q.levels {
		c := compareRanks(l.rank, r.rank())
		if c > 0 {
			break
		}
		if c < 0 {
			n += float64(l.length)
			continue
		}
		own := 0
		if f := l.byName[r.Organisation]; f != nil {
			for _, w := range f.waiters {
				if w.order <= r.orderedBy() {
					own++
				}
			}
		}
		n += float64(own)
		for _, f := range l.flows {
			if f.organisation != r.Organisation {
				n += min(float64(len(f.waiters)), float64(own+1)*f.weight/max(minWeight, r.weight()))
			}
		}
	}
	return n
}
