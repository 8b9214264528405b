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
	// lateHorizon is how far ahead a step plans that is due already.
	lateHorizon = 2 * time.Second
)

// Rank returns the order in which the groups are made, nil if the step can be
// whole in time. Under overload, items that begin longest first over all groups
// leave each group with an item that has not begun, and no group is whole when
// the results are due. Groups are made one after the other then, those with the
// least work first: a group that is whole in time is of use to its trainer, and
// those that are not come again. The last are those that can't be whole in time.
func (l Load) Rank() []int {
	order := l.order()
	capacity := time.Duration(l.Slots)*max(l.Left, lateHorizon) - l.Others
	if float64(l.needed(order)) <= fullShare*float64(capacity) {
		return nil
	}
	rank := make([]int, len(order))
	for at, i := range order {
		rank[i] = at
	}
	return rank
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
func (l Load) Needed() time.Duration { return l.needed(l.order()) }

func (l Load) needed(order []int) time.Duration {
	work := time.Duration(0)
	for _, i := range order[:min(max(0, l.Missing), len(order))] {
		work += l.Groups[i].Total
	}
	return work
}
