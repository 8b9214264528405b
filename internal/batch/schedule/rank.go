package schedule

import (
	"sort"
	"time"
)

// Work is what is left to do of a group of a step.
type Work struct {
	// Total is the time that its unfinished items take together, one after the
	// other, and Longest that of the longest of them.
	Total, Longest time.Duration
	// Again says that the group comes again from an earlier step: the trainer
	// waits for it in any case.
	Again bool
}

// Load is the work of a step against what there is for it.
type Load struct {
	Groups []Work
	// Missing is how many groups more the trainer waits for.
	Missing int
	// Slots is how many items run at once, and Others the work of earlier steps
	// that runs there as well.
	Slots  int
	Others time.Duration
	// Left is the time until the results of the step are due.
	Left time.Duration
}

const (
	// fullShare is the part of the time of all slots that a step may count on. The
	// last items of a step leave slots empty, and estimates are off.
	fullShare = 0.85
	// crowdedShare is the part of that time from which on the work of all groups leaves
	// none for groups that the trainer does not wait for. Below it they are made as
	// well, since some of them are whole before others whose length was
	// underestimated.
	crowdedShare = 0.8
	// overloadShare is the part of it from which on the groups that the trainer waits for
	// can't all be whole in time. Up to it the step ends a little late in the worst case,
	// and sooner than with its longest items begun last.
	overloadShare = 1.1
	// lateHorizon is how far ahead a step plans that is due already.
	lateHorizon = 2 * time.Second
)

// Ranking is the order in which the groups of a step are made: by Places, and all
// items of groups with the same place longest first.
type Ranking struct {
	// Places has one number for each group, lower ones go first.
	Places []int
	// Overloaded says that the step can't be whole in time.
	Overloaded bool
}

// Rank returns the order in which the groups are made.
//
// With time for all of them there is one place: the longest items begin first, as
// they alone take as long as the step has.
//
// Where the engines are crowded, groups that the trainer does not wait for, those with
// the most work, go last. A tenth of the work would else go into groups that are not
// whole when the step ends, and come again.
//
// Under overload, items that begin longest first leave each group with an item that has
// not begun, and no group is whole when the results are due. Groups are made one after
// the other then, those with the least work first, as far as there is time: a group
// that is whole in time is of use to its trainer. The others follow longest first, so
// that the step ends as soon as it can.
func (l Load) Rank() Ranking {
	order := l.order()
	capacity := float64(time.Duration(l.Slots)*max(l.Left, lateHorizon) - l.Others)
	r := Ranking{
		Places:     make([]int, len(order)),
		Overloaded: float64(l.total(order, l.Missing)) > overloadShare*capacity,
	}
	crowded := float64(l.total(order, len(order))) > crowdedShare*capacity
	sum := time.Duration(0)
	for at, i := range order {
		sum += l.Groups[i].Total
		switch {
		case crowded && at >= l.Missing:
			r.Places[i] = len(order) + 1
		case !r.Overloaded:
		case float64(sum) <= fullShare*capacity:
			r.Places[i] = at
		default:
			r.Places[i] = len(order)
		}
	}
	return r
}

// order returns the places of groups in the order in which they are made under
// overload.
func (l Load) order() []int {
	order := make([]int, len(l.Groups))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(a, b int) bool {
		x, y := l.Groups[order[a]], l.Groups[order[b]]
		if l.class(x) != l.class(y) {
			return l.class(x) < l.class(y)
		}
		return x.Total < y.Total
	})
	return order
}

// class puts the groups first that come again, and those last that can't be whole
// in time.
func (l Load) class(g Work) int {
	switch {
	case g.Again:
		return 0
	case l.Left >= lateHorizon && g.Longest > l.Left:
		return 2
	}
	return 1
}

// Needed returns the work of the groups that the trainer waits for.
func (l Load) Needed() time.Duration { return l.total(l.order(), l.Missing) }

// total returns the work of the first n groups in an order.
func (l Load) total(order []int, n int) time.Duration {
	work := time.Duration(0)
	for _, i := range order[:min(max(0, n), len(order))] {
		work += l.Groups[i].Total
	}
	return work
}
