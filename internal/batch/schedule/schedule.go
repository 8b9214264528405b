package schedule

import (
	"sort"

	"github.com/egretbend/egretbend/internal/batch/submission"
)

// Order returns the places of items in the order in which they begin: the
// longest first, by the caller's estimate. A long item alone takes as long as
// the whole step has; begun last, it would make the step late.
func Order(items []submission.Item) []int {
	order := make([]int, len(items))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(a, b int) bool {
		return items[order[a]].ExpectedTokens > items[order[b]].ExpectedTokens
	})
	return order
}
