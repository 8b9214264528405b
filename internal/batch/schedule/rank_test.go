package schedule

import (
	"math"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/batch/submission"
)

const admitPace = 40 * time.Millisecond

// overloaded plays one step of groups of eight items with a long tail of lengths,
// known within a factor of two, at some slots, and returns how many groups are
// whole when its results are due.
func overloaded(seed uint64, groups, slots int, due time.Duration, admit bool) int {
	const (
		size = 8
		tick = 20 * time.Millisecond
	)
	random := rand.New(rand.NewPCG(seed, 7))
	length := make([]time.Duration, groups*size)
	hint := make([]time.Duration, len(length))
	items := make([]submission.Item, len(length))
	for i := range length {
		events := 15 * math.Exp(0.6*random.NormFloat64())
		if random.Float64() < 0.08 {
			events *= 5
		}
		events = min(max(1, events), 178)
		length[i] = time.Duration(events * float64(admitPace))
		hint[i] = time.Duration(float64(length[i]) * math.Exp(0.5*random.NormFloat64()))
		items[i].ExpectedTokens = int(hint[i])
	}
	queue := Order(items, nil)
	ends := make([]time.Duration, len(length))
	for now := time.Duration(0); now < due; now += tick {
		running := 0
		for _, at := range ends {
			if at > now {
				running++
			}
		}
		if admit {
			l := Load{
				Groups:  make([]Work, groups),
				Missing: groups * 9 / 10,
				Slots:   slots,
				Left:    due - now,
			}
			for i := range length {
				if ends[i] > 0 && ends[i] <= now {
					continue
				}
				left := hint[i]
				if ends[i] > 0 {
					ran := now - (ends[i] - length[i])
					left = max(left-ran, ran/2)
				}
				g := &l.Groups[i/size]
				g.Total += left
				g.Longest = max(g.Longest, left)
			}
			if rank := l.Rank(); rank != nil {
				sort.SliceStable(queue, func(a, b int) bool { return rank[queue[a]/size] < rank[queue[b]/size] })
			}
		}
		for len(queue) > 0 && running < slots {
			ends[queue[0]] = now + length[queue[0]]
			queue = queue[1:]
			running++
		}
	}
	whole := 0
	for g := range groups {
		last := time.Duration(0)
		for i := g * size; i < (g+1)*size; i++ {
			if ends[i] == 0 || ends[i] > due {
				last = time.Hour
			}
			last = max(last, ends[i])
		}
		if last <= due {
			whole++
		}
	}
	return whole
}

// Steps of three times the work that there is time for. Begun longest first over
// all groups, almost every group still lacks an item when the results are due, and
// the trainer has waited for nothing.
func TestGroupsAreWholeUnderOverload(t *testing.T) {
	is := is.New(t)
	before, after := 0, 0
	const plays = 40
	for seed := range uint64(plays) {
		before += overloaded(seed, 27, 12, 7500*time.Millisecond, false)
		after += overloaded(seed, 27, 12, 7500*time.Millisecond, true)
	}
	t.Logf("groups whole in time: %.1f longest first, %.1f by groups", float64(before)/plays, float64(after)/plays)
	is.True(after > 3*before)
	is.True(after >= 5*plays)
}

// Where there is time for all, nothing changes: the longest items begin first, as
// they alone take as long as the step has. Groups that come again go before the
// others, as the trainer waits for them in any case, and those that can't be whole
// in time go last.
func TestRank(t *testing.T) {
	is := is.New(t)
	l := Load{
		Groups: []Work{
			{Total: 9 * time.Second, Longest: 6 * time.Second},
			{Total: time.Second, Longest: time.Second},
			{Total: 2 * time.Second, Longest: time.Second},
		},
		Missing: 3,
		Slots:   3,
		Left:    7 * time.Second,
	}
	is.Equal(l.Rank(), nil)
	l.Others = 8 * time.Second // an earlier step needs the engines as well
	is.Equal(l.Rank(), []int{2, 0, 1})
	l.Groups[2].Again = true
	is.Equal(l.Rank(), []int{2, 1, 0})
	l.Groups[1].Longest = 8 * time.Second
	is.Equal(l.Rank(), []int{1, 2, 0})
}
