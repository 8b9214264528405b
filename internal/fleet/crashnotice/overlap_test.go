package crashnotice

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/egretbend/egretbend/internal/standin/memorystore"
	"github.com/egretbend/egretbend/internal/standin/property"
)

// overlap is one scenario: when the deadly request arrives where.
type overlap struct {
	at       time.Duration
	instance int
}

const ms = time.Millisecond

// overlaps holds the time line of the measurements and volleys of several callers.
var overlaps = map[string][]overlap{
	"time line":     {{0, 0}, {270 * ms, 1}, {1200 * ms, 2}, {1400 * ms, 3}, {3000 * ms, 4}, {3200 * ms, 5}, {6000 * ms, 0}},
	"three at once": {{0, 0}, {10 * ms, 1}, {20 * ms, 2}, {1200 * ms, 3}, {1400 * ms, 4}, {1410 * ms, 5}, {3000 * ms, 0}, {5000 * ms, 1}},
	"five at once":  {{0, 0}, {0, 1}, {0, 2}, {0, 3}, {0, 4}, {1200 * ms, 0}, {1200 * ms, 1}, {1200 * ms, 2}, {2500 * ms, 3}, {4000 * ms, 4}, {6000 * ms, 5}},
	"one instance":  {{0, 0}, {0, 0}, {10 * ms, 0}, {100 * ms, 0}, {200 * ms, 0}, {1200 * ms, 1}, {1200 * ms, 2}},
}

// replayOverlap replays a scenario and returns the fleet. The popular request arrives at
// each of the given times, too.
func replayOverlap(t *testing.T, calls, popular []overlap, serial bool) (r *replay) {
	synctest.Test(t, func(*testing.T) {
		r = newReplay(6, 24, 16, serial)
		for _, c := range calls {
			r.call(c.at, c.instance, deadly)
		}
		for _, c := range popular {
			r.call(c.at, c.instance, "popular")
		}
		r.run()
	})
	return r
}

// Guards against a request that crashes one upstream after the other because several
// instances send it at the same time, each without knowing of the others. Without claims
// the same calls must crash more.
func TestOverlappingSendsAreSerialised(t *testing.T) {
	worst := 0
	for name, calls := range overlaps {
		r := replayOverlap(t, calls, nil, true)
		c := r.count(deadly)
		t.Logf("%s: %d crashes, %d sends after the third", name, c.crashes, c.late)
		if c.late > 3 {
			t.Errorf("%s: %d sends after the third crash", name, c.late)
		}
		r.checkOutcomes(t.Errorf)
		old := replayOverlap(t, calls, nil, false).count(deadly)
		t.Logf("%s without claims: %d crashes, %d sends after the third", name, old.crashes, old.late)
		worst = max(worst, old.late)
	}
	if worst <= 3 {
		t.Errorf("without claims there were at most %d sends after the third crash", worst)
	}
}

// Guards against innocent requests that are refused or held because an identical one
// stood beside a crash at the same upstream.
func TestBystandersAreServed(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		r := newReplay(6, 6, 16, true)
		for i := range 60 {
			r.call(time.Duration(i%7)*ms, i%6, "popular")
		}
		for i := range 12 {
			r.call(time.Duration(i)*ms, i%6, fmt.Sprint("plain", i))
		}
		r.call(0, 0, deadly)
		r.run()
		for _, result := range r.results {
			// Both attempts of a request may stand beside a crash.
			if result.body != deadly && (result.err != nil && result.runs < 2 || result.took > 400*ms) {
				t.Errorf("%s took %s with %d runs: %v", result.body, result.took, result.runs, result.err)
			}
		}
		r.checkOutcomes(t.Errorf)
		if r.count(deadly).crashes < 2 || r.store.CallCount(memorystore.Commit) < 4 {
			t.Errorf("%d crashes and %d commits: no claim was contended", r.count(deadly).crashes, r.store.CallCount(memorystore.Commit))
		}
	})
}

// checkOverlaps returns the property that a deadly request is sent at most three times
// after its third crash when it arrives up to six times at once, and later after the
// delay of notices. Popular requests must be served unless both their attempts were cut.
func checkOverlaps(t *testing.T, serial bool) func(*rapid.T) {
	calls := func(first, last time.Duration, most int) *rapid.Generator[[]overlap] {
		return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) overlap {
			return overlap{
				at:       ms * time.Duration(rapid.IntRange(int(first/ms), int(last/ms)).Draw(t, "at")),
				instance: rapid.IntRange(0, 5).Draw(t, "instance"),
			}
		}), 1, most)
	}
	return func(rt *rapid.T) {
		volley := calls(0, runTime-5*ms, 6).Draw(rt, "volley")
		later := calls(800*ms, 3*time.Second, 12).Draw(rt, "later")
		popular := calls(0, 1200*ms, 60).Draw(rt, "popular")
		r := replayOverlap(t, append(volley, later...), popular, serial)
		if late := r.count(deadly).late; late > 3 {
			rt.Fatalf("%d sends after the third crash", late)
		}
		r.checkOutcomes(rt.Fatalf)
		for _, result := range r.results {
			if result.body != deadly && result.err != nil && result.runs < 2 {
				rt.Fatalf("popular request refused after %d runs: %v", result.runs, result.err)
			}
		}
	}
}

// Guards against interleavings in which more sends follow the third crash, or in which
// requests beside the deadly one are refused.
func TestRandomOverlapsAreSerialised(t *testing.T) {
	property.CheckN(t, 40, checkOverlaps(t, true))
}

// Guards against a property that holds for another reason than the claims.
func TestRandomOverlapsNeedClaims(t *testing.T) {
	property.CheckFails(t, checkOverlaps(t, false))
}

// Guards against requests that are held or reported as not run although they ran, while
// calls of the store fail at random or their responses are lost.
func TestOverlapsWithFailingStore(t *testing.T) {
	for seed := range uint64(6) {
		synctest.Test(t, func(*testing.T) {
			rng := rand.New(rand.NewPCG(seed, 1))
			r := newReplay(6, 24, 16, true)
			faults := []memorystore.Fault{memorystore.None, memorystore.Down, memorystore.LostBefore, memorystore.LostAfter}
			r.store.Fault = func(memorystore.Operation) memorystore.Fault { return faults[rng.IntN(len(faults))] }
			for i := range 30 {
				r.call(time.Duration(rng.IntN(2000))*ms, i%6, deadly)
				r.call(time.Duration(rng.IntN(2000))*ms, i%6, "popular")
			}
			r.run()
			r.checkOutcomes(t.Errorf)
			for _, result := range r.results {
				// The most is a run, a wait for the claim, and another run.
				if result.took > maxClaimWait+2*runTime+10*ms {
					t.Errorf("seed %d: %s was held for %s: %v", seed, result.body, result.took, result.err)
				}
			}
			t.Logf("seed %d: %d crashes, %d sends after the third", seed, r.count(deadly).crashes, r.count(deadly).late)
		})
	}
}
