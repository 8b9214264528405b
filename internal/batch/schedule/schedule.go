package schedule

import (
	"sort"

	"github.com/egretbend/egretbend/internal/batch/submission"
)

// Order returns the indexes of items in the order in which they begin, longest first.
// The length of an item is the caller's estimate or, if that is larger, its number in
// minTokens, which holds the fewest tokens that an item can have, by item ID. A long
// item alone takes as long as the whole step has; begun last, it would make the step
// late. Items that are carried over from an earlier step are known to be long, since
// they held that step up.
func Order(items []submission.Item, minTokens map[string]int) []int {
	order := make([]int, len(items))
	tokens := make([]int, len(items))
	for i := range order {
		order[i] = i
		tokens[i] = max(items[i].Estimate(), minTokens[items[i].ID])
	}
	sort.SliceStable(order, func(a, b int) bool { return tokens[order[a]] > tokens[order[b]] })
	return order
}
