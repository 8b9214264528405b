package poison

import (
	"slices"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/crash"
	"github.com/egretbend/egretbend/internal/route/fingerprint"
)

// Limits of a Tracker.
const (
	// MaxCrashes is the maximum number of upstream crashes kept.
	MaxCrashes = 256
	// maxRequestsPerCrash is the maximum number of requests kept for one upstream crash.
	maxRequestsPerCrash = 16
	// maxCleared is the maximum number of cleared requests kept.
	maxCleared = 256
	// clearedTTL is how long a cleared request is kept. It exceeds the time that a report of
	// an earlier crash may take to arrive.
	clearedTTL = 30 * time.Second
)

// Crash is the observation that one request was in flight at an upstream when the upstream
// crashed.
type Crash struct {
	Incarnation crash.Incarnation
	Print       fingerprint.Fingerprint
	At          timer.Instant
	// Consecutive is the number of consecutive upstream crashes during this request, including
	// this one, as known when the request was sent. Upstreams that are lost at the same time while
	// running a popular request may share one cause, so they don't add to each other's
	// Consecutive.
	Consecutive int
}

// Tracker holds the known upstream crashes and the requests suspected of causing them. Its
// zero value is empty.
type Tracker struct {
	// crashes is sorted by time.
	crashes []*upstreamCrash
	// cleared maps a request to the time of its last completion.
	cleared map[fingerprint.Fingerprint]timer.Instant
	// blame is derived from crashes; stale marks it as out of date.
	blame map[fingerprint.Fingerprint]blame
	stale bool
}

// upstreamCrash is the crash of one upstream incarnation with the requests in flight there.
type upstreamCrash struct {
	incarnation crash.Incarnation
	// at is the time given by the first observation.
	at       timer.Instant
	requests []Crash
}

// indexOf returns the index of a request in x.requests, or -1.
func (x *upstreamCrash) indexOf(p fingerprint.Fingerprint) int {
	return slices.IndexFunc(x.requests, func(c Crash) bool { return c.Print == p })
}

// blame summarizes the crashes of one request.
type blame struct {
	// total is the number of upstreams that crashed while running the request; consecutive is
	// the number of those that crashed one after the other.
	total, consecutive int
	// share is the blame attributed to the request, summed over all crashes; each crash
	// contributes 1 in all.
	share     float64
	lastCrash timer.Instant
}

// countedCrashes returns the number of crashes that count against the request.
func (b blame) countedCrashes() int { return min(b.total, b.consecutive) }

// Empty reports whether no crash is known.
func (e *Tracker) Empty() bool { return len(e.crashes) == 0 }

// Len returns the number of known upstream crashes.
func (e *Tracker) Len() int { return len(e.crashes) }

// CrashCount returns the number of upstreams that crashed while running a request.
func (e *Tracker) CrashCount(p fingerprint.Fingerprint) int {
	e.updateBlame()
	return e.blame[p].total
}

// Add records a crash and reports whether it was added. A crash is not added if it is known
// already, in which case only its Consecutive may be raised, if the request was cleared
// at or after it, or if the upstream crash has maxRequestsPerCrash requests.
func (e *Tracker) Add(c Crash) bool {
	if at, ok := e.cleared[c.Print]; ok && c.At <= at {
		return false
	}
	at := slices.IndexFunc(e.crashes, func(x *upstreamCrash) bool { return x.incarnation == c.Incarnation })
	if at < 0 {
		e.insert(&upstreamCrash{
			incarnation: c.Incarnation,
			at:          c.At,
			requests:    []Crash{c},
		})
		return true
	}
	x := e.crashes[at]
	if i := x.indexOf(c.Print); i >= 0 {
		e.stale = e.stale || c.Consecutive > x.requests[i].Consecutive
		x.requests[i].Consecutive = max(x.requests[i].Consecutive, c.Consecutive)
		return false
	}
	if len(x.requests) >= maxRequestsPerCrash {
		return false
	}
	x.requests = append(x.requests, c)
	e.stale = true
	return true
}

// insert adds x at its position by time, and evicts another crash if there are more than
// MaxCrashes.
func (e *Tracker) insert(x *upstreamCrash) {
	e.stale = true
	at, _ := slices.BinarySearchFunc(e.crashes, x.at, func(a *upstreamCrash, t timer.Instant) int { return int(a.at - t) })
	e.crashes = slices.Insert(e.crashes, at, x)
	if len(e.crashes) > MaxCrashes {
		e.evict()
	}
}

// evict removes the oldest crash without a poison request, or the oldest one if all have one.
func (e *Tracker) evict() {
	e.updateBlame()
	at := slices.IndexFunc(e.crashes, func(x *upstreamCrash) bool {
		return !slices.ContainsFunc(x.requests, func(c Crash) bool { return e.blame[c.Print].isPoison() })
	})
	e.crashes = slices.Delete(e.crashes, max(0, at), max(0, at)+1)
	e.stale = true
}

// Clear records that a request completed at the given time, removes it from earlier crashes,
// and reports whether it was in any.
func (e *Tracker) Clear(p fingerprint.Fingerprint, at timer.Instant) bool {
	if e.cleared == nil {
		e.cleared = make(map[fingerprint.Fingerprint]timer.Instant)
	}
	if len(e.cleared) >= maxCleared {
		clear(e.cleared)
	}
	e.cleared[p] = max(at, e.cleared[p])
	return e.remove(p, func(x *upstreamCrash) bool { return x.at <= at })
}

// remove deletes a request from the matching crashes, and reports whether it was in any.
func (e *Tracker) remove(p fingerprint.Fingerprint, matches func(x *upstreamCrash) bool) bool {
	removed := false
	for _, x := range e.crashes {
		if at := x.indexOf(p); at >= 0 && matches(x) {
			x.requests = slices.Delete(x.requests, at, at+1)
			removed = true
		}
	}
	if removed {
		e.crashes = slices.DeleteFunc(e.crashes, func(x *upstreamCrash) bool { return len(x.requests) == 0 })
		e.stale = true
	}
	return removed
}

// Expire deletes expired cleared requests and expired crashes, and reports whether any crash
// record was deleted.
func (e *Tracker) Expire(now timer.Instant) bool {
	for p, at := range e.cleared {
		if now.Sub(at) >= clearedTTL {
			delete(e.cleared, p)
		}
	}
	e.updateBlame()
	removed := false
	for p, b := range e.blame {
		if now >= b.expiry() {
			removed = e.remove(p, func(*upstreamCrash) bool { return true }) || removed
		}
	}
	return removed
}

// blameIterations is the number of times that updateBlame redistributes the blame. Each
// iteration moves a good part of a bystander's blame to the poison requests beside it.
const blameIterations = 12

// updateBlame recomputes the blame if crashes changed. It weights each request by its number
// of crashes at first, then repeatedly distributes the blame for each crash among the
// requests in flight, in proportion to their blame for all crashes.
func (e *Tracker) updateBlame() {
	if !e.stale {
		return
	}
	e.stale = false
	var d blameSolver
	e.blame = make(map[fingerprint.Fingerprint]blame)
	index := make(map[fingerprint.Fingerprint]int)
	for _, x := range e.crashes {
		members := make([]int, len(x.requests))
		for i, c := range x.requests {
			p := c.Print
			if _, ok := index[p]; !ok {
				index[p] = len(d.shares)
				d.shares = append(d.shares, 0)
			}
			members[i] = index[p]
			d.shares[index[p]]++
			b := e.blame[p]
			b.total++
			b.consecutive = max(b.consecutive, c.Consecutive)
			b.lastCrash = max(b.lastCrash, c.At)
			e.blame[p] = b
		}
		d.crashes = append(d.crashes, members)
	}
	for range blameIterations {
		d.redistribute()
	}
	for p, b := range e.blame {
		b.share = d.shares[index[p]]
		e.blame[p] = b
	}
}

// blameSolver holds the state of the iteration. Requests are identified by their index in
// shares.
type blameSolver struct {
	shares []float64
	// crashes holds the indexes of the requests in flight at each crash.
	crashes [][]int
}

// redistribute distributes the blame for each crash in proportion to the current shares.
func (d *blameSolver) redistribute() {
	next := make([]float64, len(d.shares))
	for _, members := range d.crashes {
		sum := 0.0
		for _, i := range members {
			sum += d.shares[i]
		}
		for _, i := range members {
			next[i] += d.shares[i] / sum
		}
	}
	d.shares = next
}
