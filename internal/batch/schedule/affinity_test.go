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

// Guards against prompts that are read again at engines that are no better, and against warm
// engines that get more than their share, have no room or are of an older kind.
func TestWarmEngineIsPreferred(t *testing.T) {
	is := is.New(t)
	engines := []Engine{
		{FreeSlots: 8, Slots: 8, Pace: 1, Memory: 74_000},
		{FreeSlots: 4, Slots: 8, Pace: 1, Memory: 74_000, Warm: true, StepItems: 4},
	}
	need := Need{ExpectedDuration: 2 * time.Second, LongestDuration: 6 * time.Second, PromptReading: 40 * time.Millisecond, StepLoad: 1}
	is.Equal(Pick(engines, need), 1)
	unknown := need
	unknown.PromptReading = 0
	is.Equal(Pick(engines, unknown), 1)
	engines[1].Warm = false
	is.Equal(Pick(engines, need), 0)
	engines[1].Warm = true
	need.StepLoad = 0.4 // 3.2 items are its share
	is.Equal(Pick(engines, need), 0)
	need.StepLoad = 1
	engines[1].FreeSlots = 0
	is.Equal(Pick(engines, need), 0)
	engines[1].FreeSlots, engines[1].Pace = 4, 1.2
	is.Equal(Pick(engines, need), 0) // a clearly faster engine has room
}

// Guards against long items of one group that share an engine: they slow each other down, and
// the step ends with them.
func TestLongItemsSpreadAlthoughWarm(t *testing.T) {
	is := is.New(t)
	engines := make([]Engine, 4)
	for i := range engines {
		engines[i] = Engine{FreeSlots: 8, Slots: 8, Pace: 1, Memory: 74_000}
	}
	long := Need{ExpectedDuration: 6 * time.Second, LongestDuration: 6 * time.Second, PromptReading: 40 * time.Millisecond, StepLoad: 1, Memory: 11_000}
	got := make([]int, len(engines))
	for range 8 {
		at := Pick(engines, long)
		engines[at].FreeSlots--
		engines[at].Reserved += long.Memory
		engines[at].Warm = true
		engines[at].StepItems++
		got[at]++
	}
	is.Equal(got, []int{2, 2, 2, 2})
}

// affinityStep simulates a step at 16 engines of eight slots, a third of which takes 1.3 times
// as long. Engines read a prompt in the given time unless they have read it for the group, and
// generate nothing meanwhile. It returns the prompts that were read although an
// engine had read them before, and the time at which all but one group are whole. Groups run one
// after the other if the step is overloaded; it then returns when half of them are whole.
func affinityStep(seed uint64, groups, size int, overloaded, affinity bool, reading time.Duration) (readAgain int, end time.Duration) {
	const (
		tick     = 10 * time.Millisecond
		interval = 49 * time.Millisecond
		tokens   = 81
		prompt   = 260
		memory   = 74_000
	)
	random := rand.New(rand.NewPCG(seed, 1))
	engines := make([]Engine, 16)
	readingUntil := make([]time.Duration, len(engines))
	for i := range engines {
		engines[i] = Engine{FreeSlots: 8, Slots: 8, Pace: 1, Memory: memory}
		if i%3 == 0 {
			engines[i].Pace = 1.3
		}
	}
	type running struct {
		length, made float64
		group, at    int
		memory       int64
		done         bool
	}
	all := make([]*running, groups*size)
	items := make([]submission.Item, len(all))
	longest := 0
	for i := range all {
		length := 15 * math.Exp(0.6*random.NormFloat64())
		if random.Float64() < 0.08 {
			length *= 5
		}
		length = min(max(1, length), 132)
		items[i].ExpectedTokens = int(length * tokens * math.Exp(0.5*random.NormFloat64()))
		longest = max(longest, items[i].ExpectedTokens)
		all[i] = &running{length: length, group: i / size, at: -1, memory: int64(prompt + items[i].ExpectedTokens)}
	}
	duration := func(tokensExpected int) time.Duration {
		return time.Duration(float64(tokensExpected) / tokens * float64(interval))
	}
	queue := Order(items, nil)
	wanted := groups - 1
	if overloaded {
		wanted = groups / 2
		work := make([]int, groups)
		for i := range items {
			work[i/size] += items[i].ExpectedTokens
		}
		sort.SliceStable(queue, func(a, b int) bool { return work[queue[a]/size] < work[queue[b]/size] })
	}
	passed := make([]int, len(all))
	read := make([]map[int]bool, groups)
	left := make([]int, groups)
	for g := range read {
		read[g], left[g] = make(map[int]bool), size
	}
	open, whole := len(all), 0
	for now := time.Duration(0); ; now += tick {
		for len(queue) > 0 {
			r := all[queue[0]]
			need := Need{
				ExpectedDuration: duration(items[queue[0]].ExpectedTokens),
				Waited:           now,
				Overloaded:       overloaded,
				Memory:           r.memory,
			}
			if affinity {
				need.PromptReading, need.LongestDuration, need.StepLoad = reading, duration(longest), StepLoad(open, engines)
				for e := range engines {
					engines[e].Warm = read[r.group][e]
				}
			}
			at := Pick(engines, need)
			if at < 0 {
				break
			}
			if affinity && !read[r.group][at] {
				ahead := make([]Queued, min(len(queue), MaxLookAhead))
				for i := range ahead {
					ahead[i] = Queued{Tokens: items[queue[i]].ExpectedTokens, Passed: passed[queue[i]], Warm: read[all[queue[i]].group][at], Fresh: len(read[all[queue[i]].group]) == 0}
				}
				if i := TakeWarm(ahead, overloaded); i > 0 {
					for _, j := range queue[:i] {
						passed[j]++
					}
					taken := queue[i]
					copy(queue[1:i+1], queue[:i])
					queue[0] = taken
					r = all[taken]
				}
			}
			if !read[r.group][at] {
				if len(read[r.group]) > 0 {
					readAgain++
				}
				read[r.group][at] = true
				readingUntil[at] = max(now, readingUntil[at]) + reading
			}
			r.at = at
			engines[at].FreeSlots--
			engines[at].StepItems++
			engines[at].Reserved += r.memory
			queue = queue[1:]
		}
		for _, r := range all {
			if r.at < 0 || r.done || now < readingUntil[r.at] {
				continue
			}
			e := &engines[r.at]
			r.made += float64(tick) / (float64(interval) * e.Pace * (1 + slotsSlowdown*(1-e.FreeSlots/8) + memorySlowdown*min(1, float64(e.Reserved)/memory)))
			if r.made < r.length {
				continue
			}
			r.done = true
			e.FreeSlots++
			e.StepItems--
			e.Reserved -= r.memory
			open--
			if left[r.group]--; left[r.group] == 0 {
				if whole++; whole == wanted {
					return readAgain, now + tick
				}
			}
		}
	}
}

// Guards against shared prompts that are read by one engine after the other: 0.82 of 1.46
// million prompt tokens of a day had been read by some engine before. Steps must not end later
// for it.
func TestAffinityHalvesPromptsReadAgain(t *testing.T) {
	for name, c := range map[string]struct {
		groups, size int
		overloaded   bool
		reading      time.Duration
	}{
		"room for all":          {10, 8, false, 40 * time.Millisecond},
		"more than slots":       {18, 8, false, 40 * time.Millisecond},
		"four times as many":    {24, 16, false, 40 * time.Millisecond},
		"overloaded":            {36, 16, true, 40 * time.Millisecond},
		"read fast":             {18, 8, false, 5 * time.Millisecond},
		"read fast, overloaded": {36, 16, true, 5 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var before, after []time.Duration
			againBefore, againAfter := 0, 0
			for seed := range uint64(20) {
				n, end := affinityStep(seed, c.groups, c.size, c.overloaded, false, c.reading)
				againBefore, before = againBefore+n, append(before, end)
				n, end = affinityStep(seed, c.groups, c.size, c.overloaded, true, c.reading)
				againAfter, after = againAfter+n, append(after, end)
			}
			var sumBefore, sumAfter time.Duration
			for i := range before {
				sumBefore += before[i]
				sumAfter += after[i]
			}
			for _, list := range [][]time.Duration{before, after} {
				sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
			}
			t.Logf("read again %d before, %d after; steps end after %s, nine tenths %s before; %s and %s after",
				againBefore, againAfter, sumBefore/20, before[18], sumAfter/20, after[18])
			is.True(againAfter <= againBefore/2)
			is.True(sumAfter <= sumBefore*101/100)
			is.True(after[18] <= before[18]*101/100)
		})
	}
}

// Guards against long items that begin late, and items that never begin, because others have a
// warm engine.
func TestTakeWarmKeepsOrder(t *testing.T) {
	is := is.New(t)
	queue := []Queued{{Tokens: 100}, {Tokens: 90}, {Tokens: 50, Warm: true}}
	is.Equal(TakeWarm(queue, false), 0) // much shorter
	queue[2].Tokens = 80
	is.Equal(TakeWarm(queue, false), 2)
	queue[1].Passed = maxPassed
	is.Equal(TakeWarm(queue, false), 0)
	queue[1].Passed = 0
	queue[2].Tokens = 95
	is.Equal(TakeWarm(queue, false), 0) // of a group that comes later
	is.Equal(TakeWarm(queue, true), 2)
	queue[2].Warm, queue[2].Fresh = false, true
	is.Equal(TakeWarm(queue, true), 2)
	queue[2].Tokens = 80
	is.Equal(TakeWarm(queue, false), 0)
	is.Equal(TakeWarm(nil, false), 0)
}
