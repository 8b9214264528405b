package suspect

import (
	"slices"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/crash"
	"github.com/egretbend/egretbend/internal/route/fingerprint"
)

// The bounds of Evidence.
const (
	// MaxCrashes bounds the ends of upstreams that are remembered.
	MaxCrashes = 256
	// maxPrints bounds the requests of one end.
	maxPrints = 16
	// maxCleared bounds the requests that were cleared lately.
	maxCleared = 256
	// keepsCleared is for how long a cleared request is known as such, longer than
	// word of a crash before it may be on its way.
	keepsCleared = 30 * time.Second
)

// Crash is one request that was at an upstream when that ended.
type Crash struct {
	Incarnation crash.Incarnation
	Print       fingerprint.Print
	At          timer.Instant
	// Row is how many upstreams, with this one, ended under it one after the other, as far as
	// was known when it was sent there. Upstreams that are lost together under what many ask
	// for at that moment may have had one cause.
	Row int
}

// Evidence is what is known of crashes. Its zero value is empty.
type Evidence struct {
	// ends are in order of their times.
	ends    []*end
	cleared map[fingerprint.Print]timer.Instant
	blame   map[fingerprint.Print]blame
	stale   bool
}

// end is the end of one upstream.
type end struct {
	incarnation crash.Incarnation
	at          timer.Instant
	seen        []Crash
}

// find returns the place of a request among those that were there, or -1.
func (x *end) find(p fingerprint.Print) int {
	return slices.IndexFunc(x.seen, func(c Crash) bool { return c.Print == p })
}

// blame is how far one request is to blame.
type blame struct {
	// ends is how many upstreams ended under it, row how many of them one after the other.
	ends, row int
	share     float64
	last      timer.Instant
}

// crashes is how many ends count against the request.
func (b blame) crashes() int { return min(b.ends, b.row) }

// Empty reports whether nothing is known.
func (e *Evidence) Empty() bool { return len(e.ends) == 0 }

// Len returns how many ends of upstreams are known.
func (e *Evidence) Len() int { return len(e.ends) }

// Ends returns how many upstreams ended under a request.
func (e *Evidence) Ends(p fingerprint.Print) int {
	e.assess()
	return e.blame[p].ends
}

// Add takes a crash and reports whether it was news.
func (e *Evidence) Add(c Crash) bool {
	if at, ok := e.cleared[c.Print]; ok && c.At <= at {
		return false
	}
	at := slices.IndexFunc(e.ends, func(x *end) bool { return x.incarnation == c.Incarnation })
	if at < 0 {
		e.insert(&end{
			incarnation: c.Incarnation,
			at:          c.At,
			seen:        []Crash{c},
		})
		return true
	}
	x := e.ends[at]
	if i := x.find(c.Print); i >= 0 {
		e.stale = e.stale || c.Row > x.seen[i].Row
		x.seen[i].Row = max(x.seen[i].Row, c.Row)
		return false
	}
	if len(x.seen) >= maxPrints {
		return false
	}
	x.seen = append(x.seen, c)
	e.stale = true
	return true
}

// insert adds an end in its place.
func (e *Evidence) insert(x *end) {
	e.stale = true
	at, _ := slices.BinarySearchFunc(e.ends, x.at, func(a *end, t timer.Instant) int { return int(a.at - t) })
	e.ends = slices.Insert(e.ends, at, x)
	if len(e.ends) > MaxCrashes {
		e.evict()
	}
}

// evict drops the oldest end that convicts nobody.
func (e *Evidence) evict() {
	e.assess()
	at := slices.IndexFunc(e.ends, func(x *end) bool {
		return !slices.ContainsFunc(x.seen, func(c Crash) bool { return e.blame[c.Print].guilty() })
	})
	e.ends = slices.Delete(e.ends, max(0, at), max(0, at)+1)
	e.stale = true
}

// Clear takes it that a request ran to its end at an instant, and reports whether
// anything had spoken against it.
func (e *Evidence) Clear(p fingerprint.Print, at timer.Instant) bool {
	if e.cleared == nil {
		e.cleared = make(map[fingerprint.Print]timer.Instant)
	}
	if len(e.cleared) >= maxCleared {
		clear(e.cleared)
	}
	e.cleared[p] = max(at, e.cleared[p])
	return e.drop(p, func(x *end) bool { return x.at <= at })
}

// drop takes a request out of the ends that match, and reports whether it was in any.
func (e *Evidence) drop(p fingerprint.Print, matches func(x *end) bool) bool {
	dropped := false
	for _, x := range e.ends {
		if at := x.find(p); at >= 0 && matches(x) {
			x.seen = slices.Delete(x.seen, at, at+1)
			dropped = true
		}
	}
	if dropped {
		e.ends = slices.DeleteFunc(e.ends, func(x *end) bool { return len(x.seen) == 0 })
		e.stale = true
	}
	return dropped
}

// Expire forgets what is over, and reports whether that was anything.
func (e *Evidence) Expire(now timer.Instant) bool {
	for p, at := range e.cleared {
		if now.Sub(at) >= keepsCleared {
			delete(e.cleared, p)
		}
	}
	e.assess()
	dropped := false
	for p, b := range e.blame {
		if now >= b.forgotten() {
			dropped = e.drop(p, func(*end) bool { return true }) || dropped
		}
	}
	return dropped
}

// rounds is how often the blame is divided anew. Who stood beside the guilty loses a
// good part of it each time.
const rounds = 12

// assess divides the blame for each end among its requests: equally at first, then by
// what each is to blame for in all.
func (e *Evidence) assess() {
	if !e.stale {
		return
	}
	e.stale = false
	var d division
	e.blame = make(map[fingerprint.Print]blame)
	place := make(map[fingerprint.Print]int)
	for _, x := range e.ends {
		at := make([]int, len(x.seen))
		for i, c := range x.seen {
			p := c.Print
			if _, ok := place[p]; !ok {
				place[p] = len(d.shares)
				d.shares = append(d.shares, 0)
			}
			at[i] = place[p]
			d.shares[place[p]]++
			b := e.blame[p]
			b.ends++
			b.row = max(b.row, c.Row)
			b.last = max(b.last, c.At)
			e.blame[p] = b
		}
		d.ends = append(d.ends, at)
	}
	for range rounds {
		d.divide()
	}
	for p, b := range e.blame {
		b.share = d.shares[place[p]]
		e.blame[p] = b
	}
}

// division is the blame of requests, which have numbers here.
type division struct {
	shares []float64
	// ends are the requests that were at each.
	ends [][]int
}

// divide divides the blame anew by the shares so far.
func (d *division) divide() {
	next := make([]float64, len(d.shares))
	for _, at := range d.ends {
		sum := 0.0
		for _, i := range at {
			sum += d.shares[i]
		}
		for _, i := range at {
			next[i] += d.shares[i] / sum
		}
	}
	d.shares = next
}
