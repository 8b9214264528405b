package schedule

import (
	"sort"
	"time"
)

// GroupWork is the remaining work of an unfinished group of a step.
type GroupWork struct {
	// Total is the sum of the expected remaining run times of its unfinished items, and
	// Longest the largest of them.
	Total, Longest time.Duration
	// CarriedOver reports whether the group is carried over from an earlier step. The trainer
	// waits for such a group in any case.
	CarriedOver bool
}

// Load is the remaining work of a step and the capacity that is available for it.
type Load struct {
	Groups []GroupWork
	// MissingGroups is the number of further whole groups that the trainer waits for.
	MissingGroups int
	// Slots is the number of items that run at once, and OtherWork the remaining work of
	// earlier steps that shares those slots.
	Slots     int
	OtherWork time.Duration
	// UntilDue is the time until the results of the step are due.
	UntilDue time.Duration
}

// Limits of Rank. The capacity of a step is the time of all slots until its results are
// due, less the work of earlier steps.
const (
	// plannableShare is the share of the capacity that a step may count on. The last
	// items of a step leave slots empty, and estimates are inaccurate.
	plannableShare = 0.85
	// crowdedShare is the share of the capacity above which groups that the trainer does
	// not wait for are run last. Below it they run along with the others, since some of
	// them are whole before groups whose length was underestimated.
	crowdedShare = 0.8
	// overloadShare is the share of the capacity above which the groups that the trainer
	// waits for can't all be whole in time. Up to it the step ends a little late in the
	// worst case, but sooner than with its longest items begun last.
	overloadShare = 1.1
	// minHorizon is the least time ahead that is planned for, also if the step is
	// due sooner or is overdue.
	minHorizon = 2 * time.Second
)

// Ranking is the order in which the groups of a step are run.
type Ranking struct {
	// Places has one number for each group; groups with lower numbers go first. Items of
	// groups with the same number begin longest first.
	Places []int
	// Overloaded reports that the step can't complete in time.
	Overloaded bool
}

// Rank returns the order in which the groups are run.
//
// If there is time for all groups, they share one place: the longest items begin first,
// as they alone take as long as the step has.
//
// If the engines are crowded, groups that the trainer does not wait for, those with the
// most work, go last. Otherwise a tenth of the work would go into groups that are not
// whole when the step ends and have to be carried over.
//
// If the step is overloaded, beginning the longest items first would leave each group
// with an item that has not begun, and no group would be whole when the results are due.
// Instead, groups are run one after the other, those with the least work first, as far
// as there is time: a group that is whole in time is useful to its trainer. The items of
// the other groups follow longest first, so that the step ends as soon as possible.
func (l Load) Rank() Ranking {
	order := l.overloadOrder()
	capacity := float64(time.Duration(l.Slots)*max(l.UntilDue, minHorizon) - l.OtherWork)
	r := Ranking{
		Places:     make([]int, len(order)),
		Overloaded: float64(l.totalWork(order, l.MissingGroups)) > overloadShare*capacity,
	}
	crowded := float64(l.totalWork(order, len(order))) > crowdedShare*capacity
	sum := time.Duration(0)
	for at, i := range order {
		sum += l.Groups[i].Total
		switch {
		case crowded && at >= l.MissingGroups:
			r.Places[i] = len(order) + 1
		case !r.Overloaded:
		case float64(sum) <= plannableShare*capacity:
			r.Places[i] = at
		default:
			r.Places[i] = len(order)
		}
	}
	return r
}

// overloadOrder returns the indexes of the groups in the order in which they run under
// overload: by priority class, then the least work first.
func (l Load) overloadOrder() []int {
	order := make([]int, len(l.Groups))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(a, b int) bool {
		x, y := l.Groups[order[a]], l.Groups[order[b]]
		if l.priorityClass(x) != l.priorityClass(y) {
			return l.priorityClass(x) < l.priorityClass(y)
		}
		return x.Total < y.Total
	})
	return order
}

// priorityClass returns 0 for a group that is carried over, 2 for one that can't be
// whole in time, and 1 for any other. Lower classes go first.
func (l Load) priorityClass(g GroupWork) int {
	switch {
	case g.CarriedOver:
		return 0
	case l.UntilDue >= minHorizon && g.Longest > l.UntilDue:
		return 2
	}
	return 1
}

// Needed returns the remaining work of the groups that the trainer waits for.
func (l Load) Needed() time.Duration { return l.totalWork(l.overloadOrder(), l.MissingGroups) }

// totalWork returns the remaining work of the first n groups of an order.
func (l Load) totalWork(order []int, n int) time.Duration {
	work := time.Duration(0)
	for _, i := range order[:min(max(0, n), len(order))] {
		work += l.Groups[i].Total
	}
	return work
}
