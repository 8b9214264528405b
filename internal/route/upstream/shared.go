package upstream

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// Shared is the state that the successive sets of one service have in common, with which a
// decision on a request does not look at every upstream. Its zero value is ready to use.
type Shared struct {
	// paceChanges counts the changes of any pace.
	paceChanges atomic.Uint64
	idle        idleList
}

const (
	// maxExactPaces is the number of upstreams up to which the median pace is computed anew
	// after each change of a pace, which takes some microseconds.
	maxExactPaces = 256
	// pacesPerMedian is the fraction of the upstreams of a larger set whose pace must have
	// changed before the median is computed again: the cost for each change is then that of a
	// few comparisons, and the median has moved by few ranks.
	pacesPerMedian = 16
)

// medianCache is the last median pace of a set.
type medianCache struct {
	// changes is Shared.paceChanges at the computation plus 1; 0 if there was none.
	changes atomic.Uint64
	value   atomic.Uint64
}

// lookup returns the median if few enough paces have changed since it was computed.
func (c *medianCache) lookup(changes uint64, upstreams int) (float64, bool) {
	at := c.changes.Load()
	if at == 0 || upstreams <= maxExactPaces && changes+1 != at || changes+1-at >= uint64(max(1, upstreams/pacesPerMedian)) {
		return 0, false
	}
	return math.Float64frombits(c.value.Load()), true
}

// store stores the median that was computed after the given number of changes.
func (c *medianCache) store(changes uint64, median float64) {
	c.value.Store(math.Float64bits(median))
	c.changes.Store(changes + 1)
}

// scratch holds the buffers in which medians are computed.
var scratch = sync.Pool{
	New: func() any { return new([]float64) },
}

// medianOf returns the median of the positive values of the upstreams, or zero if there are fewer
// than three.
func medianOf(upstreams []*Upstream, value func(*Upstream) float64) float64 {
	buffer := scratch.Get().(*[]float64)
	defer scratch.Put(buffer)
	values := (*buffer)[:0]
	for _, u := range upstreams {
		if v := value(u); v > 0 {
			values = append(values, v)
		}
	}
	*buffer = values
	if len(values) < 3 {
		return 0
	}
	return selectNth(values, len(values)/2)
}

// selectNth returns the element that would be at index n if the values were sorted. It changes
// their order and takes linear time on average.
func selectNth(values []float64, n int) float64 {
	for len(values) > 12 {
		pivot := medianOfThree(values[0], values[len(values)/2], values[len(values)-1])
		low, high := 0, len(values)-1
		for low <= high {
			for values[low] < pivot {
				low++
			}
			for values[high] > pivot {
				high--
			}
			if low <= high {
				values[low], values[high] = values[high], values[low]
				low++
				high--
			}
		}
		switch {
		case n <= high:
			values = values[:high+1]
		case n >= low:
			values, n = values[low:], n-low
		default:
			return pivot
		}
	}
	slices.Sort(values)
	return values[n]
}

func medianOfThree(a, b, c float64) float64 {
	return max(min(a, b), min(max(a, b), c))
}

// idleList lists the upstreams of a service that may have idle connections, so that a request
// finds one without looking at the others. Reading takes no lock: the list is extended behind the
// part that a reader holds, and replaced when upstreams are removed from it.
type idleList struct {
	mu   sync.Mutex
	list atomic.Pointer[[]*Upstream]
}

// load returns the upstreams that may have idle connections.
func (l *idleList) load() []*Upstream {
	if list := l.list.Load(); list != nil {
		return *list
	}
	return nil
}

// add adds an upstream that is not in the list, after removing others if there is no room.
func (l *idleList) add(u *Upstream, now timer.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := l.load()
	if len(list) == cap(list) {
		list = withIdleConnections(list, now)
	}
	list = append(list, u)
	l.list.Store(&list)
}

// prune removes the upstreams without idle connections, unless the list is being changed.
func (l *idleList) prune(now timer.Instant) {
	if !l.mu.TryLock() {
		return
	}
	defer l.mu.Unlock()
	list := withIdleConnections(l.load(), now)
	l.list.Store(&list)
}

// withIdleConnections returns the upstreams that have idle connections and are not leaving, with
// room for as many more. It marks the others as not listed.
func withIdleConnections(list []*Upstream, now timer.Instant) []*Upstream {
	kept := make([]*Upstream, 0, len(list))
	for _, u := range list {
		stays := u.HasIdleConnection(now) && !u.leaving.Load()
		if !stays {
			u.inIdleList.Store(false)
			// A request that ended in between found the upstream listed.
			stays = u.HasIdleConnection(now) && !u.leaving.Load() && u.inIdleList.CompareAndSwap(false, true)
		}
		if stays {
			kept = append(kept, u)
		}
	}
	return append(make([]*Upstream, 0, 2*len(kept)+8), kept...)
}
