package runner

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/outside/engine"
	"github.com/egretbend/egretbend/internal/route/catalog"
)

// dispatchScaleBatch starts the items of a batch until the end of the test, and returns the engines
// by item.
func dispatchScaleBatch(t *testing.T, r *Runner, b *Batch) map[string]*catalog.Upstream {
	b.mu.Lock()
	defer b.mu.Unlock()
	r.dispatch(b)
	t.Cleanup(func() {
		b.mu.Lock()
		b.ended = true
		b.mu.Unlock()
		b.cancel()
	})
	engines := make(map[string]*catalog.Upstream)
	for id, task := range b.tasks {
		if task.upstream != nil {
			engines[id] = task.upstream
		}
	}
	return engines
}

// nearIDs returns the IDs of the engines that a batch looks at first.
func nearIDs(r *Runner, b *Batch) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	candidates, _ := r.nearCandidates(b, r.Timer.Now())
	var ids []string
	for _, c := range candidates {
		ids = append(ids, c.u.ID)
	}
	return ids
}

// Guards against a home that has connections to all 900 engines of its model, and looks at 9,000
// engines for each item, and against homes that all use the same engines.
func TestHomeOfLargeServiceUsesFewEngines(t *testing.T) {
	is := is.New(t)
	r := newScaleRunner(9000)
	b := newScaleBatch(r, 130)
	first := nearIDs(r, b)
	is.True(len(first) < 400)
	is.Equal(nearIDs(r, newScaleBatch(r, 130)), first)
	for _, u := range dispatchScaleBatch(t, r, b) {
		is.True(slices.Contains(first, u.ID))
	}
	other := newScaleRunner(9000)
	other.Ledger.Self.Instance = "entry-0002"
	other.FailureDomain = "zone-4"
	common := 0
	for _, id := range nearIDs(other, newScaleBatch(other, 130)) {
		if slices.Contains(first, id) {
			common++
		}
	}
	is.True(common < len(first)/2)
}

// Guards against another choice of engines in fleets of some hundreds of engines.
func TestHomeOfOrdinaryServiceLooksAtAllEngines(t *testing.T) {
	is := is.New(t)
	r := newScaleRunner(500)
	b := newScaleBatch(r, 20)
	near := nearIDs(r, b)
	var all []string
	b.mu.Lock()
	for _, c := range r.usableCandidates(b, r.Timer.Now()) {
		all = append(all, c.u.ID)
	}
	b.mu.Unlock()
	is.Equal(near, all)
}

// Guards against items that wait for the engines of the subset while others have free slots: all
// but twenty of the last engines in the order are full.
func TestItemsGoBeyondFullEngines(t *testing.T) {
	is := is.New(t)
	r := newScaleRunner(9000)
	b := newScaleBatch(r, 20)
	now := r.Timer.Now()
	var own []*catalog.Upstream
	for _, u := range r.orders.of(r.engineGroup(b), r.Ledger.Self.Instance, r.FailureDomain) {
		if u.ModelVersion("m0") >= b.sub.OldestVersion {
			own = append(own, u)
		}
	}
	for _, u := range own[:len(own)-20] {
		u.RecordReport(engine.LoadReport{Running: 20, Slots: 6}, now)
	}
	is.True(slices.Contains(nearIDs(r, b), own[len(own)-1].ID)) // no second look at all engines
	engines := dispatchScaleBatch(t, r, b)
	is.Equal(len(engines), 20)
	for _, u := range engines {
		is.True(slices.Contains(own[len(own)-20:], u))
	}
}

// Guards against an item that waits for memory at the engines of the subset, each of which has room
// for most items, while an engine beyond them is empty.
func TestItemThatNoEngineOfTheSubsetCanHoldGoesBeyond(t *testing.T) {
	is := is.New(t)
	r := newScaleRunner(9000)
	for i := range 50 {
		r.lengths.Record(1000, 10+i%20)
	}
	b := newScaleBatch(r, 1)
	b.tasks["item-0"].item.PromptTokens = 80_000
	order := r.orders.of(r.engineGroup(b), r.Ledger.Self.Instance, r.FailureDomain)
	var last *catalog.Upstream
	for _, u := range order {
		if u.ModelVersion("m0") >= b.sub.OldestVersion {
			u.Reserve(45_000)
			last = u
		}
	}
	is.True(len(nearIDs(r, b)) < 400)
	last.Reserve(-45_000)
	engines := dispatchScaleBatch(t, r, b)
	is.True(engines["item-0"] == last)
}

// Guards against streams that all count as slow together because only the subset counts as the
// engines of the service.
func TestUsableEnginesAreCountedInTheWholeService(t *testing.T) {
	is := is.New(t)
	r := newScaleRunner(9000)
	b := newScaleBatch(r, 1)
	is.True(len(nearIDs(r, b)) < 400)
	r.engineGroup(b).Upstreams[0].MarkLeaving()
	is.Equal(r.usableEngines(b, r.Timer.Now().Add(time.Second)), 899)
}
