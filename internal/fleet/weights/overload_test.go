package weights

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/batch/schedule"
)

// stepTime is the time that the simulated steps have.
const stepTime = 7 * time.Second

// maxMinShares states what the max-min share of a trainer is: the slots that it gets of a
// capacity if all shares grow in proportion to their weights until each reaches its demand,
// which is what its unfinished items can use. The weight of a trainer is the work of its
// latest step, so that all steps end together.
func maxMinShares(capacity float64, demand, weight []float64) []float64 {
	shares := make([]float64, len(demand))
	for {
		open := 0.0
		for i := range demand {
			if shares[i] < demand[i] {
				open += weight[i]
			}
		}
		left := capacity
		for _, s := range shares {
			left -= s
		}
		if open == 0 || left <= 1e-9*capacity {
			return shares
		}
		step := left / open
		for i := range demand {
			if shares[i] < demand[i] {
				step = min(step, (demand[i]-shares[i])/weight[i])
			}
		}
		for i := range demand {
			if shares[i] < demand[i] {
				shares[i] += step * weight[i]
				if demand[i]-shares[i] < 1e-9*demand[i] {
					shares[i] = demand[i]
				}
			}
		}
	}
}

// Guards against a wrong max-min share in the tests below.
func TestMaxMinShares(t *testing.T) {
	is := is.New(t)
	near := func(got, want []float64) {
		for i := range want {
			is.True(math.Abs(got[i]-want[i]) < 1e-6)
		}
	}
	near(maxMinShares(10, []float64{1, 4, 20}, []float64{1, 1, 1}), []float64{1, 4, 5})
	near(maxMinShares(10, []float64{1, 4, 20}, []float64{1, 4, 20}), []float64{0.4, 1.6, 8})
	near(maxMinShares(30, []float64{1, 4, 20}, []float64{1, 4, 20}), []float64{1, 4, 20})
}

// simulatedItem is an item of the overload simulation.
type simulatedItem struct {
	group  int
	length time.Duration
}

// simulatedSeconds is stepTime in seconds.
const simulatedSeconds = int(stepTime / time.Second)

// readGrace is how long after the due time results still count as in time.
const readGrace = 700 * time.Millisecond

// simulation is the outcome of a simulated step: the work of the groups that are whole in
// time, in seconds, and the average number of slots in each second that are in use and that
// the unfinished items could use.
type simulation struct {
	whole  float64
	used   [simulatedSeconds]float64
	demand [simulatedSeconds]float64
}

// simulateStep runs the items of a step on a number of slots, in the order of
// schedule.Load.Rank for a possibly different number.
func simulateStep(items []simulatedItem, groups, slots, rankedSlots int) simulation {
	works := make([]schedule.GroupWork, groups)
	for _, item := range items {
		works[item.group].Total += item.length
		works[item.group].Longest = max(works[item.group].Longest, item.length)
	}
	rank := schedule.Load{
		Groups:        works,
		MissingGroups: groups,
		Slots:         rankedSlots,
		UntilDue:      stepTime,
	}.Rank()
	queue := slices.Clone(items)
	slices.SortStableFunc(queue, func(a, b simulatedItem) int {
		if x, y := rank.Places[a.group], rank.Places[b.group]; x != y {
			return x - y
		}
		return int(b.length - a.length)
	})
	var result simulation
	freeAt := make([]time.Duration, slots)
	late := make([]bool, groups)
	for _, item := range queue {
		first := 0
		for i := range freeAt {
			if freeAt[i] < freeAt[first] {
				first = i
			}
		}
		begin := freeAt[first]
		end := begin + item.length
		freeAt[first] = end
		late[item.group] = late[item.group] || end > stepTime+readGrace
		for s := range simulatedSeconds {
			from, to := time.Duration(s)*time.Second, time.Duration(s+1)*time.Second
			result.used[s] += max(0, min(end, to)-max(begin, from)).Seconds()
			if end > from {
				result.demand[s] += min(time.Second, end-max(begin, from)).Seconds()
			}
		}
	}
	for g, isLate := range late {
		if !isLate {
			result.whole += works[g].Total.Seconds()
		}
	}
	return result
}

// Guards against trainers that get much less than their max-min share of an overloaded
// service in some second, and against a lower throughput than with the former division and
// ranking: in each second no fewer slots may be in use. The steps have a third more work
// than there is time for, and more. The work of groups that are whole in time depends on
// how groups fit into the time, and is compared over all loads.
func TestOverloadedTrainersGetTheirShares(t *testing.T) {
	is := is.New(t)
	allWhole, allFormer := 0.0, 0.0
	for _, l := range []divisionLoad{fourCrowded, threeCrowded} {
		for _, overload := range []float64{1.3, 1.6, 2} {
			r := newDivisionReplay(l)
			var divided map[string]string
			for range 4 {
				divided = r.round(l.groups)
			}
			former := newDivisionReplay(l)
			after, before := setSizes(divided), setSizes(Assign(former.engineList(), l.models(), former.latest, r.orderer.demand))
			total := 0
			for _, g := range l.groups {
				total += g * l.groupSize
			}
			meanLength := overload * float64(l.engines*l.slots) * stepTime.Seconds() / float64(total)
			random := rand.New(rand.NewPCG(3, 9))
			whole, formerWhole, least := 0.0, 0.0, math.Inf(1)
			for range 20 {
				var work []float64
				var results []simulation
				var used, formerUsed [simulatedSeconds]float64
				for i, m := range l.models() {
					var items []simulatedItem
					work = append(work, 0)
					for n := range l.groups[i] * l.groupSize {
						length := meanLength * math.Exp(0.4*random.NormFloat64()-0.08)
						work[i] += length
						items = append(items, simulatedItem{
							group:  n / l.groupSize,
							length: time.Duration(length * float64(time.Second)),
						})
					}
					slots := after[m] * l.slots
					results = append(results, simulateStep(items, l.groups[i], slots, slots))
					whole += results[i].whole
					// Formerly a step that did not crowd its engines counted all slots.
					slots = before[m] * l.slots
					ranked := slots
					if !schedule.CrowdsOwnEngines(len(items), slots) {
						ranked = l.engines * l.slots
					}
					former := simulateStep(items, l.groups[i], slots, ranked)
					formerWhole += former.whole
					for s := range simulatedSeconds {
						used[s] += results[i].used[s]
						formerUsed[s] += former.used[s]
					}
				}
				for s := range simulatedSeconds {
					if used[s] < formerUsed[s]-1e-6 {
						t.Errorf("%d models, overload %.1f: %.2f slots in use in second %d, formerly %.2f", len(l.groups), overload, used[s], s, formerUsed[s])
					}
					var demand []float64
					for _, result := range results {
						demand = append(demand, result.demand[s])
					}
					for i, share := range maxMinShares(float64(l.engines*l.slots), demand, work) {
						if share > 0 {
							least = min(least, results[i].used[s]/share)
						}
					}
				}
			}
			t.Logf("%d models, overload %.1f: at least %.2f of the share in each second; work of whole groups %.0f s, formerly %.0f s", len(l.groups), overload, least, whole/20, formerWhole/20)
			is.True(least >= 0.8)
			allWhole += whole
			allFormer += formerWhole
		}
	}
	is.True(allWhole > allFormer)
}
