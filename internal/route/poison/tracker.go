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
	Fingerprint fingerprint.Fingerprint
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
	// clearedCrashes maps a crash from which a request was removed to the time of the
	// removal. A report of the crash by another instance may arrive later with an estimated
	// time after the completion.
	clearedCrashes map[crashKey]timer.Instant
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

// crashKey identifies the crash of one incarnation during one request.
type crashKey struct {
	fingerprint fingerprint.Fingerprint
	incarnation crash.Incarnation
}

// indexOf returns the index of a request in x.requests, or -1.
func (x *upstreamCrash) indexOf(p fingerprint.Fingerprint) int {
	return slices.IndexFunc(x.requests, func(c Crash) bool { return c.Fingerprint == p })
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
func (t *Tracker) Empty() bool { return len(t.crashes) == 0 }

// Len returns the number of known upstream crashes.
func (t *Tracker) Len() int { return len(t.crashes) }

// CrashCount returns the number of upstreams that crashed while running a request.
func (t *Tracker) CrashCount(p fingerprint.Fingerprint) int {
	t.updateBlame()
	return t.blame[p].total
}

// Crashes returns the crashes during a request, the oldest first.
func (t *Tracker) Crashes(p fingerprint.Fingerprint) []Crash {
	var list []Crash
	for _, x := range t.crashes {
		if at := x.indexOf(p); at >= 0 {
			list = append(list, x.requests[at])
		}
	}
	return list
}

// Add records a crash and reports whether it was added. A crash is not added if it is known
// already, in which case only its Consecutive may be raised, if the request was cleared
// at or after it, or if the upstream crash has maxRequestsPerCrash requests.
func (t *Tracker) Add(c Crash) bool {
	if at, ok := t.cleared[c.Fingerprint]; ok && c.At <= at {
		return false
	}
	if _, ok := t.clearedCrashes[crashKey{c.Fingerprint, c.Incarnation}]; ok {
		return false
	}
	at := slices.IndexFunc(t.crashes, func(x *upstreamCrash) bool { return x.incarnation == c.Incarnation })
	if at < 0 {
		t.insert(&upstreamCrash{
			incarnation: c.Incarnation,
			at:          c.At,
			requests:    []Crash{c},
		})
		return true
	}
	x := t.crashes[at]
	if i := x.indexOf(c.Fingerprint); i >= 0 {
		t.stale = t.stale || c.Consecutive > x.requests[i].Consecutive
		x.requests[i].Consecutive = max(x.requests[i].Consecutive, c.Consecutive)
		return false
	}
	if len(x.requests) >= maxRequestsPerCrash {
		return false
	}
	x.requests = append(x.requests, c)
	t.stale = true
	return true
}

// insert adds x at its position by time, and evicts another crash if there are more than
// MaxCrashes.
func (t *Tracker) insert(x *upstreamCrash) {
	t.stale = true
	at, _ := slices.BinarySearchFunc(t.crashes, x.at, func(a *upstreamCrash, when timer.Instant) int { return int(a.at - when) })
	t.crashes = slices.Insert(t.crashes, at, x)
	if len(t.crashes) > MaxCrashes {
		t.evict()
	}
}

// evict removes the oldest crash without a poison request, or the oldest one if all have one.
func (t *Tracker) evict() {
	t.updateBlame()
	at := slices.IndexFunc(t.crashes, func(x *upstreamCrash) bool {
		return !slices.ContainsFunc(x.requests, func(c Crash) bool { return t.blame[c.Fingerprint].isPoison() })
	})
	t.crashes = slices.Delete(t.crashes, max(0, at), max(0, at)+1)
	t.stale = true
}

// Clear records that a request completed at the given time, removes it from earlier crashes,
// and reports whether it was in any.
func (t *Tracker) Clear(p fingerprint.Fingerprint, at timer.Instant) bool {
	if t.cleared == nil {
		t.cleared = make(map[fingerprint.Fingerprint]timer.Instant)
	}
	if len(t.cleared) >= maxCleared {
		clear(t.cleared)
	}
	t.cleared[p] = max(at, t.cleared[p])
	for _, x := range t.crashes {
		if x.at <= at && x.indexOf(p) >= 0 {
			t.rememberCleared(crashKey{p, x.incarnation}, at)
		}
	}
	return t.remove(p, func(x *upstreamCrash) bool { return x.at <= at })
}

// rememberCleared records that a crash no longer counts against a request.
func (t *Tracker) rememberCleared(k crashKey, at timer.Instant) {
	if t.clearedCrashes == nil {
		t.clearedCrashes = make(map[crashKey]timer.Instant)
	}
	if len(t.clearedCrashes) >= maxCleared {
		clear(t.clearedCrashes)
	}
	t.clearedCrashes[k] = at
}

// ClearCrash removes a request from the crash of one incarnation, because the request
// completed on an upstream after it.
func (t *Tracker) ClearCrash(p fingerprint.Fingerprint, incarnation crash.Incarnation, now timer.Instant) {
	t.rememberCleared(crashKey{p, incarnation}, now)
	t.remove(p, func(x *upstreamCrash) bool { return x.incarnation == incarnation })
}

// remove deletes a request from the matching crashes, and reports whether it was in any.
func (t *Tracker) remove(p fingerprint.Fingerprint, matches func(x *upstreamCrash) bool) bool {
	removed := false
	for _, x := range t.crashes {
		if at := x.indexOf(p); at >= 0 && matches(x) {
			x.requests = slices.Delete(x.requests, at, at+1)
			removed = true
		}
	}
	if removed {
		t.crashes = slices.DeleteFunc(t.crashes, func(x *upstreamCrash) bool { return len(x.requests) == 0 })
		t.stale = true
	}
	return removed
}

// Expire deletes expired cleared requests and expired crashes, and reports whether any crash
// record was deleted.
func (t *Tracker) Expire(now timer.Instant) bool {
	for p, at := range t.cleared {
		if now.Sub(at) >= clearedTTL {
			delete(t.cleared, p)
		}
	}
	for k, at := range t.clearedCrashes {
		if now.Sub(at) >= clearedTTL {
			delete(t.clearedCrashes, k)
		}
	}
	t.updateBlame()
	removed := false
	for p, b := range t.blame {
		if now >= b.expiry() {
			removed = t.remove(p, func(*upstreamCrash) bool { return true }) || removed
		}
	}
	return removed
}

// blameIterations is the number of times that updateBlame redistributes the blame. Each
// iteration moves much of a bystander's blame to the poison requests beside it.
const blameIterations = 12

// updateBlame recomputes the blame if crashes changed. It weights each request by its number
// of crashes at first, then repeatedly distributes the blame for each crash among the
// requests in flight, in proportion to their blame for all crashes.
func (t *Tracker) updateBlame() {
	if !t.stale {
		return
	}
	t.stale = false
	var solver blameSolver
	t.blame = make(map[fingerprint.Fingerprint]blame)
	index := make(map[fingerprint.Fingerprint]int)
	for _, x := range t.crashes {
		members := make([]int, len(x.requests))
		for i, c := range x.requests {
			p := c.Fingerprint
			if _, ok := index[p]; !ok {
				index[p] = len(solver.shares)
				solver.shares = append(solver.shares, 0)
			}
			members[i] = index[p]
			solver.shares[index[p]]++
			b := t.blame[p]
			b.total++
			b.consecutive = max(b.consecutive, c.Consecutive)
			b.lastCrash = max(b.lastCrash, c.At)
			t.blame[p] = b
		}
		solver.crashes = append(solver.crashes, members)
	}
	for range blameIterations {
		solver.redistribute()
	}
	for p, b := range t.blame {
		b.share = solver.shares[index[p]]
		t.blame[p] = b
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
func (s *blameSolver) redistribute() {
	next := make([]float64, len(s.shares))
	for _, members := range s.crashes {
		sum := 0.0
		for _, i := range members {
			sum += s.shares[i]
		}
		for _, i := range members {
			next[i] += s.shares[i] / sum
		}
	}
	s.shares = next
}
