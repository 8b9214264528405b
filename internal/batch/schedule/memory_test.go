package schedule

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/batch/submission"
)

// runs sets the streams of an engine to n that have 1,000 tokens left to the given size.
func (e *Engine) runs(n int, size float64) {
	e.Streams, e.Reserved = nil, 0
	for range n {
		e.Streams = append(e.Streams, StreamMemory{Size: size - 1000, Left: 1000})
		e.Reserved += int64(size)
	}
}

// Guards against long items that are sent to engines without memory for them, and against items
// that wait although an engine has room, the spread of lengths is unknown, or engines are less
// than half full for so long that the item must be sent.
func TestItemsWaitForMemory(t *testing.T) {
	is := is.New(t)
	engines := []Engine{
		{FreeSlots: 4, Slots: 8, Pace: 1, Memory: 34_528},
		{FreeSlots: 4, Slots: 8, Pace: 1.3, Memory: 34_528},
	}
	engines[0].runs(4, 7000)
	engines[1].runs(4, 6800)
	long := Need{ExpectedDuration: 6 * time.Second, Memory: 11_000, MemoryLeft: 10_740}
	is.Equal(Pick(engines, long), 0) // the spread is unknown
	long.MemorySpread = 0.4
	is.Equal(Pick(engines, long), -1)
	is.Equal(MemoryTarget(engines, long), 0) // an older kind has room, but takes longer than the wait
	is.Equal(Pick(engines, Need{ExpectedDuration: 500 * time.Millisecond, Memory: 700, MemoryLeft: 440, MemorySpread: 0.4}), 1)
	long.WaitedForMemory = maxMemoryWait
	is.Equal(Pick(engines, long), -1) // the engines are half full
	engines[0].FreeSlots, engines[1].FreeSlots = 5, 5
	is.Equal(Pick(engines, long), 0)
	long.WaitedForMemory = 0
	is.Equal(Pick(engines, long), -1)
	engines[1].Pace = 1
	is.Equal(Pick(engines, long), 1) // it fits there
	is.Equal(MemoryTarget(engines, long), -1)
	engines[1].Held = true
	is.Equal(Pick(engines, long), -1) // another item waits for that engine
	engines[1].Held = false
	engines[1].runs(0, 0)
	long.Memory, long.MemoryLeft = 40_000, 39_740
	is.Equal(Pick(engines, long), 1) // no engine has more room than an empty one
}

// Guards against items that wait for the memory of streams that end long before they need it.
func TestPeakMemory(t *testing.T) {
	is := is.New(t)
	e := Engine{}
	e.runs(7, 2260) // seven short streams
	long := Need{ExpectedDuration: 10 * time.Second, Memory: 10_260, MemoryLeft: 10_000}
	peak, _ := long.peakMemory(e, 0)
	is.Equal(peak, 7*2260.0+1260) // when the short ones end
	e.Reserved += 1000            // a stream of another batch
	peak, _ = long.peakMemory(e, 0)
	is.Equal(peak, 7*2260.0+1260+600)
}

// Guards against a margin that is so large that engines idle.
func TestMemoryMarginIsBounded(t *testing.T) {
	is := is.New(t)
	e := Engine{FreeSlots: 4, Slots: 8, Memory: 40_000}
	e.runs(4, 5000)
	limit := int64((1 - maxMemoryMargin) * 40_000)
	is.Equal(Need{Memory: limit - 20_000, MemoryLeft: 4740, MemorySpread: maxDeviation}.full(e), false)
}

// Guards against a spread that is made up before lengths are known.
func TestLengthsSpread(t *testing.T) {
	is := is.New(t)
	var l Lengths
	for range 9 {
		l.Record(1000, 10)
	}
	is.Equal(l.Spread(), 0.0)
	for range 1000 {
		l.Record(1000, 5)
		l.Record(1000, 15)
	}
	is.True(math.Abs(l.Spread()-0.5) < 0.02)
}

// memoryStep simulates a step of 24 groups of 16 items at 16 engines of eight slots and little
// memory, a third of which takes 1.3 times as long. An engine that runs out of memory suspends its
// newest streams and reads them again later. It returns how often it does, the time for which
// streams are suspended, and the time at which all but one group are whole. waits says whether
// items wait for memory.
func memoryStep(seed uint64, memory int64, waits bool) (suspensions int, suspended, end time.Duration) {
	const (
		tick     = 20 * time.Millisecond
		interval = 49 * time.Millisecond
		tokens   = 81
		prompt   = 260
		groups   = 24
		size     = 16
	)
	random := rand.New(rand.NewPCG(seed, 1))
	engines := make([]Engine, 16)
	for i := range engines {
		engines[i] = Engine{FreeSlots: 8, Slots: 8, Pace: 1, Memory: memory}
		if i%3 == 0 {
			engines[i].Pace = 1.3
		}
	}
	type stream struct {
		length, made float64
		memory       int64
		group        int
		waitingFrom  time.Duration
		suspended    bool
		silentFrom   time.Duration
		moves        int
		// resumeAt is when the text is read again.
		resumeAt time.Duration
	}
	at := make([][]*stream, len(engines))
	items := make([]submission.Item, groups*size)
	all := make([]*stream, len(items))
	var lengths Lengths
	for range 2 {
		for i := range all {
			length := 15 * math.Exp(0.6*random.NormFloat64())
			if random.Float64() < 0.08 {
				length *= 5
			}
			length = min(max(1, length), 132)
			items[i].ExpectedTokens = int(length * tokens * math.Exp(0.5*random.NormFloat64()))
			all[i] = &stream{length: length, group: i / size, memory: int64(prompt + items[i].ExpectedTokens), waitingFrom: -1}
			lengths.Record(items[i].ExpectedTokens, int(math.Ceil(length))) // those of the step before
		}
	}
	queue := Order(items, nil)
	left, whole := make([]int, groups), 0
	for g := range left {
		left[g] = size
	}
	for now := time.Duration(0); ; now += tick {
		var moved []*stream
		for i := range engines {
			engines[i].Streams, engines[i].Held = engines[i].Streams[:0], false
			for _, s := range at[i] {
				size := prompt + s.made*tokens
				engines[i].Streams = append(engines[i].Streams, StreamMemory{Size: size, Left: max(0, float64(s.memory)-size)})
			}
		}
		for n := 0; n < len(queue); {
			s := all[queue[n]]
			need := Need{
				ExpectedDuration: time.Duration(float64(items[queue[n]].ExpectedTokens) / tokens * float64(interval)),
				Waited:           now,
				Memory:           s.memory,
				MemoryLeft:       float64(s.memory - prompt),
			}
			need.MemoryLeft = max(0, need.MemoryLeft-s.made*tokens)
			if waits && s.moves == 0 {
				need.MemorySpread = lengths.Spread()
				if s.waitingFrom >= 0 {
					need.WaitedForMemory = now - s.waitingFrom
				}
			}
			picked, target := Pick(engines, need), MemoryTarget(engines, need)
			if picked < 0 && (target < 0 || n == MaxWaiting) {
				break
			}
			if picked < 0 {
				engines[target].Held = engines[target].Held || n == 0
				if s.waitingFrom < 0 {
					s.waitingFrom = now
				}
				n++
				continue
			}
			e := &engines[picked]
			e.FreeSlots--
			e.Reserved += s.memory
			e.Streams = append(e.Streams, StreamMemory{Size: prompt, Left: need.MemoryLeft})
			at[picked] = append(at[picked], s)
			queue = slices.Delete(queue, n, n+1)
		}
		for i := range engines {
			e := &engines[i]
			used := 0.0
			for _, s := range at[i] { // the oldest first
				size := prompt + s.made*tokens
				if used+size > float64(memory) {
					if !s.suspended {
						suspensions++
						s.silentFrom = now
					}
					s.suspended = true
					s.resumeAt = now + 100*time.Millisecond
					suspended += tick
					continue
				}
				used += size
				if now < s.resumeAt {
					suspended += tick
					continue
				}
				s.suspended = false
				s.made += float64(tick) / (float64(interval) * e.Pace * (1 + slotsSlowdown*(1-e.FreeSlots/8) + memorySlowdown*min(1, float64(e.Reserved)/float64(memory))))
			}
			at[i] = slices.DeleteFunc(at[i], func(s *stream) bool {
				stalled := s.suspended && now-s.silentFrom > minStall && s.moves < maxMoves
				if s.made < s.length && !stalled {
					return false
				}
				e.FreeSlots++
				e.Reserved -= s.memory
				if stalled {
					s.moves++
					s.suspended = false
					s.resumeAt = now + 100*time.Millisecond
					moved = append(moved, s)
					return true
				}
				if left[s.group]--; left[s.group] == 0 {
					whole++
				}
				return true
			})
		}
		for _, s := range moved {
			queue = slices.Insert(queue, 0, slices.Index(all, s))
		}
		if whole >= groups-1 {
			return suspensions, suspended, now
		}
	}
}

// Guards against items that are sent to engines without memory, which suspend streams, and
// against engines that idle for the margin so that steps end later.
func TestWaitingForMemorySuspendsFewStreams(t *testing.T) {
	for name, memory := range map[string]int64{"a quarter of the memory": 18_000, "half of the memory": 34_528, "usual memory": 74_000} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			nBefore, nAfter := 0, 0
			var before, after, endBefore, endAfter time.Duration
			for seed := range uint64(8) {
				n, d, end := memoryStep(seed, memory, false)
				nBefore, before, endBefore = nBefore+n, before+d, endBefore+end
				n, d, end = memoryStep(seed, memory, true)
				nAfter, after, endAfter = nAfter+n, after+d, endAfter+end
			}
			t.Logf("%d suspensions of %s in all and a mean end of %s before, %d of %s and %s after", nBefore, before, endBefore/8, nAfter, after, endAfter/8)
			is.True(nAfter <= nBefore/3 || nAfter <= 2)
			is.True(endAfter <= endBefore*101/100)
		})
	}
}

// BenchmarkPickFull measures the pick of an item for which no engine has memory.
func BenchmarkPickFull(b *testing.B) {
	engines := make([]Engine, 48)
	for i := range engines {
		engines[i] = Engine{FreeSlots: 1, Slots: 8, Pace: 1, Memory: 34_528}
		engines[i].runs(7, 5000)
	}
	need := Need{ExpectedDuration: 6 * time.Second, Memory: 11_000, MemoryLeft: 10_740, MemorySpread: 0.4}
	b.ReportAllocs()
	for b.Loop() {
		if Pick(engines, need) >= 0 {
			b.Fatal("the item was placed")
		}
	}
}
