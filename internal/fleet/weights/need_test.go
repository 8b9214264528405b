package weights

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"pgregory.net/rapid"

	"github.com/egretbend/egretbend/internal/kernel/journal"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/catalog"
)

// The loads of the two deployments of docs/design/hard-load.md.
var (
	fourCalm     = divisionLoad{engines: 48, slots: 6, groupSize: 8, groups: []int{12, 18, 19, 10}}
	fourCrowded  = divisionLoad{engines: 48, slots: 6, groupSize: 8, groups: []int{12, 18, 57, 3}}
	threeCalm    = divisionLoad{engines: 44, slots: 8, groupSize: 16, groups: []int{6, 9, 9}}
	threeCrowded = divisionLoad{engines: 44, slots: 8, groupSize: 16, groups: []int{24, 36, 36}}
)

// tokensPerGroup is the work of a group in the loads.
const tokensPerGroup = 10_000

// Guards against a division that differs from the one by Assign while no step crowds its
// share: existing deployments must keep their behaviour.
func TestCalmLoadsAreDividedAsBefore(t *testing.T) {
	for _, l := range []divisionLoad{fourCalm, threeCalm} {
		is := is.New(t)
		r := newDivisionReplay(l)
		for range 6 {
			got := r.round(l.groups)
			is.Equal(got, r.before())
			is.Equal(len(got), l.engines)
		}
		is.Equal(r.orderer.divisions["s"].changes, 0)
		is.Equal(len(r.orderer.CrowdedModels("s")), 0)
		is.Equal(len(r.orderer.CrowdedModels("other")), 0)
	}
}

// Guards against a crowded step that ends long after those of the other models: 57 of 90
// groups on 0.44 of the engines took twice the time of the others. The steps that crowd
// their shares must end together, within the rounding to whole engines, and none of the
// others may end after them. The three models share 44 engines as 11, 16.5 and 16.5, and
// already had 16 engines for the largest steps, so their latest end can't improve.
func TestCrowdedStepsEndTogether(t *testing.T) {
	for _, tt := range []struct {
		name    string
		load    divisionLoad
		crowded []int
		// latestEnd is the upper limit for the latest end, relative to that before.
		latestEnd float64
	}{
		{"four models", fourCrowded, []int{1, 2}, 0.8},
		{"three models", threeCrowded, []int{0, 1, 2}, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := newDivisionReplay(tt.load)
			var got map[string]string
			for range 4 {
				got = r.round(tt.load.groups)
			}
			before, after := tt.load.ends(r.before()), tt.load.ends(got)
			t.Logf("before: %.2f %v", before, setSizes(r.before()))
			t.Logf("after:  %.2f %v", after, setSizes(got))
			t.Logf("shares: %v", r.orderer.divisions["s"].shares)
			is.True(slices.Max(after) <= tt.latestEnd*slices.Max(before))
			is.True(slices.Max(after) < 1.1)
			for _, i := range tt.crowded {
				is.True(after[i] > 0.9*slices.Max(after))
			}
			is.Equal(r.orderer.divisions["s"].changes, 1)
			crowded := make(map[string]bool)
			for _, i := range tt.crowded {
				crowded[tt.load.models()[i]] = true
			}
			is.Equal(r.orderer.CrowdedModels("s"), crowded)
			// When the load is calm again, the division returns to that of Assign.
			calm := make([]int, len(tt.load.groups))
			for i := range calm {
				calm[i] = 9
			}
			r.round(calm)
			r.round(calm)
			is.Equal(r.round(calm), r.before())
		})
	}
}

// Guards against an instance that takes engines from a model it has not heard of, as after
// a restart, and against engines that stay with a model whose trainer has stopped.
func TestOnlyKnownStepsMoveShares(t *testing.T) {
	is := is.New(t)
	r := newDivisionReplay(threeCrowded)
	r.orderer.StepRequested("m0", 2000, 20_000)
	r.orderer.StepRequested("m1", 2000, 20_000)
	is.Equal(r.orderer.ModelsByEngine("s", false), r.before())
	r.orderer.StepRequested("m2", 20, 20_000)
	r.clock.Advance(assignmentTTL)
	is.True(r.orderer.divisions["s"].shares != nil)
	// m2 requests no further step.
	r.clock.Advance(8 * time.Second)
	r.orderer.StepRequested("m0", 2000, 20_000)
	r.orderer.StepRequested("m1", 2000, 20_000)
	r.clock.Advance(5 * time.Second)
	is.Equal(setSizes(r.orderer.ModelsByEngine("s", false)), map[string]int{"m0": 22, "m1": 21, "m2": 1})
	// The trainer of m2 publishes a version: it runs, and only its notices are missing.
	r.orderer.VersionPublished("m2", 2)
	r.clock.Advance(assignmentTTL)
	is.Equal(r.orderer.ModelsByEngine("s", false), Assign(r.engineList(), r.load.models(), r.orderer.latest, r.orderer.demand))
	// No model requests a step.
	r.clock.Advance(stepMemory)
	is.Equal(r.orderer.ModelsByEngine("s", false), r.before())
}

// Guards against engines that change their model in the middle of a step and load weights
// while they could serve it.
func TestEnginesStayForTheStepUnderWay(t *testing.T) {
	is := is.New(t)
	r := newDivisionReplay(fourCrowded)
	for range 3 {
		r.round(fourCalm.groups)
	}
	calm := r.assignment()
	for i, m := range r.load.models() {
		r.orderer.StepRequested(m, fourCrowded.groups[i]*8, int64(fourCrowded.groups[i])*tokensPerGroup)
	}
	r.clock.Advance(assignmentTTL)
	is.True(r.orderer.divisions["s"].shares != nil)
	is.Equal(r.assignment(), calm)
	// The next version of m0 takes its engines down to its new share, and no other model's.
	before := setSizes(calm)
	r.latest["m0"]++
	r.orderer.VersionPublished("m0", r.latest["m0"])
	r.clock.Advance(assignmentTTL)
	after := setSizes(r.assignment())
	is.True(after["m0"] < before["m0"])
	is.True(after["m2"] > before["m2"])
	for id, m := range r.assignment() {
		is.True(calm[id] == "m0" || calm[id] == m)
	}
}

// Guards against instances that divide the engines differently because one of them used
// the division more often, or for the first time when it took over the batches of a lost
// home: the division must follow from the steps alone.
func TestNewHomeDividesAsTheLostOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := rapid.SampledFrom([]divisionLoad{fourCalm, fourCrowded, threeCalm, threeCrowded}).Draw(t, "load")
		lost, home := newDivisionReplay(l), newDivisionReplay(l)
		models := l.models()
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			m := rapid.SampledFrom(models).Draw(t, "model")
			groups := rapid.IntRange(1, 80).Draw(t, "groups")
			for _, r := range []*divisionReplay{lost, home} {
				r.orderer.StepRequested(m, groups*l.groupSize, int64(groups)*tokensPerGroup)
			}
			for range rapid.IntRange(0, 40).Draw(t, "waits") {
				lost.clock.Advance(100 * time.Millisecond)
				home.clock.Advance(100 * time.Millisecond)
				lost.assignment()
			}
		}
		home.clock.Advance(assignmentTTL)
		lost.clock.Advance(assignmentTTL)
		a, b := lost.orderer.ModelsByEngine("s", false), home.orderer.ModelsByEngine("s", false)
		if !maps.Equal(a, b) || lost.orderer.divisions["s"].changes != home.orderer.divisions["s"].changes {
			t.Fatalf("the new home divides differently: %v, %v", setSizes(a), setSizes(b))
		}
	})
}

// Guards against a division that changes with each step: each change makes engines load
// weights.
func TestDivisionChangesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := rapid.SampledFrom([]divisionLoad{fourCrowded, threeCrowded}).Draw(t, "load")
		r := newDivisionReplay(l)
		var d *division
		var changedAt timer.Instant
		changes := 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			m := rapid.SampledFrom(l.models()).Draw(t, "model")
			groups := rapid.IntRange(1, 80).Draw(t, "groups")
			var old map[string]float64
			if d != nil {
				d.advance(r.clock.Now())
				old = d.shares
			}
			r.orderer.StepRequested(m, groups*l.groupSize, int64(groups)*tokensPerGroup)
			d = r.orderer.divisions["s"]
			if d.changes > changes+1 {
				t.Fatal("one step changed the division more than once")
			}
			if d.changes > changes {
				if changes > 0 && d.changedAt.Sub(changedAt) < divisionInterval {
					t.Fatalf("changed again after %s", d.changedAt.Sub(changedAt))
				}
				changedAt, changes = d.changedAt, d.changes
				if old != nil && d.shares != nil && !slices.ContainsFunc(l.models(), func(m string) bool {
					change := d.shares[m] - old[m]
					return max(change, -change)*float64(l.engines) >= 0.999 && max(change, -change) >= 0.0999*old[m]
				}) {
					t.Fatalf("changed from %v to %v", old, d.shares)
				}
			}
			r.clock.Advance(time.Duration(rapid.IntRange(0, 4000).Draw(t, "wait")) * time.Millisecond)
			d.advance(r.clock.Now())
			if d.changes > changes {
				if changes > 0 && d.changedAt.Sub(changedAt) < divisionInterval {
					t.Fatalf("changed again after %s", d.changedAt.Sub(changedAt))
				}
				changedAt, changes = d.changedAt, d.changes
			}
		}
		if elapsed := r.clock.Now().Sub(timer.Instant(time.Hour)); changes > 1+int(elapsed/divisionInterval) {
			t.Fatalf("%d changes in %s", changes, elapsed)
		}
	})
}

// Guards against engines without a model, models without an engine, and shares below what
// a step needs.
func TestNeedSharesAndTheirAssignment(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		models := []string{"m0", "m1", "m2", "m3", "m4"}[:rapid.IntRange(2, 5).Draw(t, "models")]
		n := rapid.IntRange(1, 60).Draw(t, "engines")
		c := Capacity{Engines: n, Slots: n * rapid.IntRange(1, 8).Draw(t, "slots")}
		demand := Demand{}
		steps := make(map[string]Step)
		latest := make(map[string]uint64)
		stepping := make(map[string]bool)
		for _, m := range models {
			demand[m] = float64(rapid.IntRange(1, 1_000_000).Draw(t, "smoothed"))
			steps[m] = Step{
				Items:  rapid.IntRange(0, 1000).Draw(t, "items"),
				Tokens: float64(rapid.IntRange(0, 1_000_000).Draw(t, "tokens")),
			}
			latest[m] = rapid.Uint64Range(1, 5).Draw(t, "latest")
			stepping[m] = rapid.Bool().Draw(t, "stepping")
		}
		base := demand.shares(models)
		shares := NeedShares(models, base, steps, c)
		if shares == nil {
			for _, m := range models {
				if n >= len(models) && steps[m].Tokens > 0 && steps[m].crowds(base[m]*float64(c.Slots)) {
					t.Fatal("a crowded step moved no shares")
				}
			}
			return
		}
		sum := 0.0
		for _, m := range models {
			sum += shares[m]
			if shares[m]*float64(n) < 1-1e-6 {
				t.Fatalf("%s has %v of %d engines", m, shares[m], n)
			}
		}
		if sum < 1-1e-6 || sum > 1+1e-6 {
			t.Fatalf("the shares add up to %v", sum)
		}
		var engines []Engine
		for i := range n {
			versions := make(map[string]uint64)
			for _, m := range models {
				versions[m] = rapid.Uint64Range(1, latest[m]).Draw(t, "version")
			}
			engines = append(engines, newEngine(fmt.Sprintf("e%02d", i), 0, versions))
		}
		got := AssignByNeed(engines, models, latest, shares, stepping)
		slices.Reverse(engines)
		if !maps.Equal(got, AssignByNeed(engines, models, latest, shares, stepping)) {
			t.Fatal("the order of the engines changes the assignment")
		}
		sizes := setSizes(got)
		for _, m := range models {
			if sizes[m] == 0 {
				t.Fatalf("%s has no engine: %v", m, sizes)
			}
		}
		if len(got) != n || sizes[""] > 0 {
			t.Fatalf("%d of %d engines are assigned", len(got), n)
		}
		// Nothing is loaded: the sets follow the shares to within one engine.
		for i := range engines {
			engines[i].Versions = nil
		}
		for m, size := range setSizes(AssignByNeed(engines, models, latest, shares, stepping)) {
			if want := shares[m] * float64(n); float64(size) < want-1.001 || float64(size) > want+1.001 {
				t.Fatalf("%s has %d engines for a share of %v", m, size, want)
			}
		}
	})
}

// Guards against a change that is lost because it came too early after the last one.
func TestDeferredChangeIsMadeLater(t *testing.T) {
	is := is.New(t)
	r := newDivisionReplay(fourCrowded)
	request := func(groups []int) {
		for i, m := range r.load.models() {
			r.orderer.StepRequested(m, groups[i]*8, int64(groups[i])*tokensPerGroup)
		}
	}
	request([]int{12, 18, 57, 3})
	d := r.orderer.divisions["s"]
	is.Equal(d.changes, 1)
	r.clock.Advance(time.Second)
	request([]int{57, 18, 12, 3})
	is.Equal(d.changes, 1)
	is.True(d.shares["m2"] > d.shares["m0"])
	r.clock.Advance(divisionInterval - time.Second)
	r.assignment()
	is.Equal(d.changes, 2)
	is.True(d.shares["m0"] > d.shares["m2"])
}

// Guards against a change of the division that can't be seen in the log and the metrics,
// and against lines without a change.
func TestChangesOfDivisionAreLogged(t *testing.T) {
	is := is.New(t)
	r := newDivisionReplay(fourCrowded)
	var lines bytes.Buffer
	var err error
	r.orderer.Journal, err = journal.Open(&lines, "info", "i")
	is.NoErr(err)
	r.orderer.Metrics = NewMetrics(prometheus.NewRegistry())
	r.round(fourCalm.groups)
	is.NoErr(r.orderer.Journal.Flush())
	is.Equal(lines.String(), "")
	before := testutil.ToFloat64(r.orderer.Metrics.share.WithLabelValues("m2"))
	for range 3 {
		r.round(fourCrowded.groups)
	}
	is.NoErr(r.orderer.Journal.Flush())
	t.Log(lines.String())
	is.Equal(strings.Count(lines.String(), "decision=divide"), r.orderer.divisions["s"].changes)
	is.True(strings.Contains(lines.String(), "reason=need"))
	is.True(strings.Contains(lines.String(), "items=456,tokens=570000,age_ms=0"))
	is.True(testutil.ToFloat64(r.orderer.Metrics.share.WithLabelValues("m2")) > before)
	// A configuration without a model removes its share.
	r.orderer.Config.Update(catalog.Configuration{
		Version:  2,
		Services: map[string]catalog.Service{"s": {Engine: &catalog.Engine{Models: []string{"m0", "m1"}}}},
	}.WithIndex())
	r.orderer.StepRequested("m0", 10, 1000)
	is.Equal(testutil.CollectAndCount(r.orderer.Metrics.share), 2)
}
