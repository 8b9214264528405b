package schedule

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// freeEngine is an engine of another model with a recent report of free slots.
func freeEngine(free float64) Engine {
	return Engine{
		FreeSlots:  free,
		Slots:      6,
		OtherModel: true,
	}
}

// Guards against a crowded step that takes the slot between two items of the owner, the
// last free slot of an engine, or slots for longer than the owner can spare.
func TestEngineLendsAfterHavingFreeSlots(t *testing.T) {
	is := is.New(t)
	l := &Lender{}
	const short, long = 800 * time.Millisecond, 5 * time.Second
	start := timer.Instant(time.Hour)
	at := func(d time.Duration, e Engine) timer.Instant {
		l.Observe("e", e, false, start.Add(d))
		return start.Add(d)
	}
	e := freeEngine(4)
	is.Equal(l.Allows("e", e, short, false, at(0, e)), false)
	is.Equal(l.Allows("e", e, short, false, at(299*time.Millisecond, e)), false)
	is.True(l.Allows("e", e, short, false, at(300*time.Millisecond, e)))
	is.Equal(l.Allows("e", e, long, false, at(300*time.Millisecond, e)), false)
	is.Equal(l.Allows("e", e, 0, false, at(300*time.Millisecond, e)), false) // unknown is not short
	for d := 400; d <= 1000; d += 100 {
		at(time.Duration(d)*time.Millisecond, e)
	}
	now := start.Add(time.Second)
	is.True(l.Allows("e", e, long, false, now))
	is.Equal(l.Allows("e", freeEngine(3), long, false, now), false)  // half of the slots stay free
	is.Equal(l.Allows("e", freeEngine(1), short, false, now), false) // one slot stays free
	// The step of the owner has waiting items: the time begins again.
	l.Observe("e", e, true, now)
	is.Equal(l.Allows("e", e, short, false, now), false)
	is.Equal(l.Allows("e", e, short, false, at(1100*time.Millisecond, e)), false)
	is.True(l.Allows("e", e, short, false, at(1390*time.Millisecond, e)) == false)
	is.True(l.Allows("e", e, short, false, at(1400*time.Millisecond, e)))
}

// Guards against a second item for an engine before it reported the first, against items
// for engines of crowded models that reported nothing, and against an engine that is
// asked again right after it refused.
func TestLoansWaitForReports(t *testing.T) {
	is := is.New(t)
	l := &Lender{}
	const short = 500 * time.Millisecond
	start := timer.Instant(time.Hour)
	e := freeEngine(6)
	e.ReportAge = time.Hour
	observe := func(d time.Duration) timer.Instant {
		for seen := l.loanOf("e").seenAt; seen > 0 && seen < start.Add(d); seen = seen.Add(100 * time.Millisecond) {
			l.Observe("e", e, false, seen)
		}
		l.Observe("e", e, false, start.Add(d))
		return start.Add(d)
	}
	observe(0)
	now := observe(300 * time.Millisecond)
	is.Equal(l.Allows("e", e, short, true, now), false) // the owner is crowded
	is.True(l.Allows("e", e, short, false, now))
	l.Lent("e", now)
	is.Equal(l.Allows("e", e, short, false, now), false)
	e.ReportAge = 20 * time.Millisecond
	now = observe(310 * time.Millisecond)
	is.Equal(l.Allows("e", e, short, true, now), false) // the report is from before the item
	e.ReportAge = 5 * time.Millisecond
	is.True(l.Allows("e", e, short, true, now))
	l.Settle("e", true, now)
	is.Equal(l.Allows("e", e, short, false, observe(2300*time.Millisecond)), false)
	now = observe(3000 * time.Millisecond)
	is.True(l.Allows("e", e, short, false, now))
	l.Forget(now.Add(1))
	is.Equal(len(l.loans), 0)
}

// Guards against a home that takes over and borrows what the lost one could not: it must
// first see the free slots itself, and then decide as any other.
func TestNewHomeBorrowsAlike(t *testing.T) {
	is := is.New(t)
	lost, home := &Lender{}, &Lender{}
	const short = 500 * time.Millisecond
	now := timer.Instant(time.Hour)
	e := freeEngine(6)
	for range 20 {
		lost.Observe("e", e, false, now)
		now = now.Add(100 * time.Millisecond)
	}
	is.True(lost.Allows("e", e, short, false, now))
	home.Observe("e", e, false, now)
	is.Equal(home.Allows("e", e, short, false, now), false)
	// The streams of the lost home hold most of the room for a while.
	home.Observe("e", freeEngine(1), false, now)
	for range 13 {
		is.Equal(home.Allows("e", freeEngine(1), short, false, now), false)
		now = now.Add(100 * time.Millisecond)
		home.Observe("e", e, false, now)
		lost.Observe("e", e, false, now)
		if now >= timer.Instant(time.Hour).Add(3300*time.Millisecond) {
			is.Equal(home.Allows("e", e, short, false, now), lost.Allows("e", e, short, false, now))
		}
	}
	is.True(home.Allows("e", e, short, false, now))
}

// Guards against refusals without bound when all engines of other models are full, although
// no report says so.
func TestRefusedLoansAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &Lender{}
		now := timer.Instant(time.Hour)
		refused, sent := 0, 0
		refusal := rapid.Float64Range(0, 1).Draw(t, "refusal")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		for range 300 {
			now = now.Add(50 * time.Millisecond)
			for range random.IntN(4) {
				l.Sent()
				sent++
			}
			for n := range 20 {
				id := fmt.Sprint(n)
				e := freeEngine(6)
				e.ReportAge = time.Duration(random.IntN(2000)) * time.Millisecond
				l.Observe(id, e, false, now)
				if !l.Allows(id, e, 500*time.Millisecond, false, now) {
					continue
				}
				l.Lent(id, now)
				l.Sent()
				sent++
				isRefused := random.Float64() < refusal
				if isRefused {
					refused++
				}
				l.Settle(id, isRefused, now)
			}
		}
		if float64(refused) > maxRefusals+refusalsPerSend*float64(sent) {
			t.Fatalf("%d of %d sends were refused", refused, sent)
		}
	})
}

// lendingItem is an item that runs at an engine in the simulation of lending.
type lendingItem struct {
	home  int // -1 for the owner
	until timer.Instant
}

// Guards against two homes that fill the same engines of a third model, and against an
// owner that waits for its slots. The owner's steps take all slots for two seconds of
// every six. Engines report only with the answer to an item.
func TestTwoHomesBorrowFromOneModel(t *testing.T) {
	is := is.New(t)
	const engines, slots, homes, tick = 10, 6, 2, 10 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 2))
	start := timer.Instant(time.Hour)
	var running [engines][]lendingItem
	var lenders [homes]Lender
	type report struct {
		at     timer.Instant
		others int
	}
	var reports [homes][engines]report
	var sends, refused, borrowed int
	var longestWait time.Duration
	ownerWaiting, waitingSince := 0, timer.Instant(0)
	for now := start; now < start.Add(30*time.Second); now = now.Add(tick) {
		for i := range running {
			kept := running[i][:0]
			for _, item := range running[i] {
				if item.until > now {
					kept = append(kept, item)
				}
			}
			running[i] = kept
		}
		elapsed := now.Sub(start)
		if elapsed%(6*time.Second) == 0 {
			ownerWaiting, waitingSince = engines*slots, now
		}
		for i := range running {
			for ownerWaiting > 0 && len(running[i]) < slots {
				running[i] = append(running[i], lendingItem{home: -1, until: now.Add(2 * time.Second)})
				ownerWaiting--
			}
		}
		if ownerWaiting > 0 {
			longestWait = max(longestWait, now.Sub(waitingSince))
		}
		for h := range homes {
			if elapsed%(100*time.Millisecond) != 0 {
				continue
			}
			for range 4 { // items at its own engines
				lenders[h].Sent()
				sends++
			}
			for _, i := range random.Perm(engines) {
				own := 0
				for _, item := range running[i] {
					if item.home == h {
						own++
					}
				}
				e := freeEngine(float64(slots - own - reports[h][i].others))
				e.ReportAge = time.Hour
				if at := reports[h][i].at; at > 0 {
					e.ReportAge = now.Sub(at)
				}
				id := fmt.Sprint(i)
				lenders[h].Observe(id, e, false, now)
				length := time.Duration(200+random.IntN(800)) * time.Millisecond
				if !lenders[h].Allows(id, e, length, false, now) {
					continue
				}
				sends++
				lenders[h].Sent()
				lenders[h].Lent(id, now)
				full := len(running[i]) >= slots
				lenders[h].Settle(id, full, now)
				if full {
					refused++
					continue
				}
				borrowed++
				reports[h][i] = report{at: now.Add(1), others: len(running[i]) - own}
				running[i] = append(running[i], lendingItem{home: h, until: now.Add(length)})
			}
		}
	}
	t.Logf("%d sends, %d borrowed, %d refused; the owner waits %s at most", sends, borrowed, refused, longestWait)
	is.True(10*refused < sends)
	is.True(borrowed > 500)
	is.True(longestWait <= maxShortLoan)
}

// Guards against a step whose own engines are full of long streams and that borrows nothing any
// more, although other engines are idle, because four loans were refused at once.
func TestRefusedLoansAreForgivenWithTime(t *testing.T) {
	is := is.New(t)
	var l Lender
	e := Engine{FreeSlots: 8, Slots: 8, Pace: 1, ReportAge: 100 * time.Millisecond}
	now := timer.Instant(time.Hour)
	for i := range maxRefusals {
		id := string(rune('a' + i))
		l.Lent(id, now)
		l.Settle(id, true, now)
	}
	ready := func(at timer.Instant) bool {
		for past := now; past <= at; past = past.Add(100 * time.Millisecond) {
			l.Observe("z", e, false, past)
		}
		return l.Allows("z", e, maxShortLoan, false, at)
	}
	is.True(!ready(now.Add(500 * time.Millisecond)))
	is.True(ready(now.Add(3 * time.Second)))
}
