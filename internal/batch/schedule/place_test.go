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

// Guards against moves that cost more than they save. A stream at an engine of an older
// kind, which takes 1.3 times as long, can go on at a faster one; that only pays for
// long items, and only if the paces differ by more than their noise.
func TestGain(t *testing.T) {
	is := is.New(t)
	interval := 50 * time.Millisecond
	long := Progress{Events: 10, TotalEvents: 10, ExpectedEvents: 110, Pace: 1.3}
	is.Equal(MoveGain(long, interval, 1).Round(time.Millisecond), 1500*time.Millisecond)
	is.Equal(MoveGain(long, interval, 1.2), time.Duration(0)) // within the noise
	short := Progress{Events: 10, TotalEvents: 10, ExpectedEvents: 14, Pace: 1.3}
	is.Equal(MoveGain(short, interval, 1), time.Duration(0))
	beyond := Progress{Events: 60, TotalEvents: 60, ExpectedEvents: 20, Pace: 1.3}
	is.True(MoveGain(beyond, interval, 1) > 0) // an item beyond its estimate is expected to go on
	justBegun := long
	justBegun.Events = minPaceEvents - 1
	is.Equal(MoveGain(justBegun, interval, 1), time.Duration(0))
	movedOften := long
	movedOften.Moves = maxOptionalMoves
	is.Equal(MoveGain(movedOften, interval, 1), time.Duration(0))
}

// Guards against using estimates, which are in tokens, as numbers of events.
func TestLengths(t *testing.T) {
	is := is.New(t)
	var l Lengths
	is.Equal(l.Events(800), 0.0)
	l.Record(0, 50) // an item without an estimate is ignored
	for range 20 {
		l.Record(800, 10)
	}
	is.Equal(l.Events(1600), 20.0)
	for range 10000 {
		l.Record(400, 10) // the ratio of tokens to events changes
	}
	is.True(math.Abs(l.Events(400)-10) < 0.2)
}

// Guards against short items that slow down long ones: short items end long before their
// step does, but at a fast engine they make the events of the long ones take longer.
// They go to the older engines, and leave half of the fast ones' slots free; but no item
// waits for long.
func TestShortItemsGoToOlderEngines(t *testing.T) {
	is := is.New(t)
	engines := []Engine{
		{FreeSlots: 8, Slots: 8, Pace: 1},
		{FreeSlots: 3, Slots: 8, Pace: 1.3},
		{FreeSlots: 8, Slots: 8, Pace: 4},
		{FreeSlots: 8, Slots: 8, Pace: 1.6}, // has just become slow
	}
	short := Need{ExpectedDuration: 500 * time.Millisecond}
	is.Equal(Pick(engines, short), 1)
	is.Equal(Pick(engines, Need{ExpectedDuration: 5 * time.Second}), 0)
	is.Equal(Pick(engines, Need{}), 0) // an item of unknown length may be long
	engines[1].FreeSlots = 0
	is.Equal(Pick(engines, short), 0)
	engines[0].FreeSlots, engines[2].FreeSlots, engines[3].FreeSlots = 4, 0, 0
	is.Equal(Pick(engines, short), -1)
	is.Equal(Pick(engines, Need{ExpectedDuration: 5 * time.Second}), 0)
	short.Waited = maxShortItemWait
	is.Equal(Pick(engines, short), 0)
}

// Guards against long items at fast engines that are short of memory. Such an engine
// suspends streams, so that the longest texts of a step stall there for a second and
// more while older engines have memory to spare.
func TestLongItemsGoWhereMemoryIsFree(t *testing.T) {
	is := is.New(t)
	engines := []Engine{
		{FreeSlots: 8, Slots: 12, Pace: 1, Memory: 41_000, Reserved: 36_000},
		{FreeSlots: 12, Slots: 12, Pace: 1.3, Memory: 41_000, Reserved: 4_000},
	}
	long := Need{ExpectedDuration: 6 * time.Second, Memory: 11_000}
	is.Equal(Pick(engines, long), 0) // a small excess is within the error of estimates
	engines[0].Reserved = 60_000
	is.Equal(Pick(engines, long), 1)
	engines[1].Reserved = 60_000
	is.Equal(Pick(engines, long), 0) // none has enough memory: the faster one
	engines[0].Memory, engines[1].Memory = 0, 0
	is.Equal(Pick(engines, long), 0) // the memory is unknown
}

// Guards against noise in measured paces that decides between equal engines. Four
// engines of one kind are measured at slightly different moments; if the seemingly
// fastest one gets four long texts of a step, the step lasts half a second longer there.
func TestLongItemsSpreadOverEqualEngines(t *testing.T) {
	is := is.New(t)
	engines := []Engine{
		{FreeSlots: 8, Slots: 8, Pace: 0.95, Memory: 74_000},
		{FreeSlots: 8, Slots: 8, Pace: 1, Memory: 74_000},
		{FreeSlots: 5, Slots: 8, Pace: 1.02, Memory: 74_000, Reserved: 3_000}, // has short items
		{FreeSlots: 8, Slots: 8, Pace: 1.06, Memory: 74_000},
	}
	got := make([]int, len(engines))
	for range 8 {
		at := Pick(engines, Need{ExpectedDuration: 6 * time.Second, Memory: 11_000})
		engines[at].FreeSlots--
		engines[at].Reserved += 11_000
		got[at]++
	}
	is.Equal(got, []int{2, 2, 2, 2})
}

// simulatedItem is an item of the step that simulateStep runs.
type simulatedItem struct {
	length, generated float64
	estimate          int
	group             int
	moves             int
	engine            int
	begun             time.Duration
	done              time.Duration
}

// simulateStep simulates a step of a trainer: 18 groups of eight items with a long tail
// of lengths, whose estimates are right within a factor of two, at sixteen engines of
// eight slots, a third of which takes 1.3 times as long. It returns the time at which 17
// groups are whole.
func simulateStep(seed uint64, pick func([]Engine, Need) int, moveToFaster bool) time.Duration {
	const (
		tick     = 50 * time.Millisecond
		interval = 49 * time.Millisecond
		tokens   = 81
		groups   = 18
		size     = 8
		wanted   = 17
	)
	random := rand.New(rand.NewPCG(seed, 1))
	engines := make([]Engine, 16)
	for i := range engines {
		engines[i] = Engine{
			FreeSlots: 8,
			Slots:     8,
			Pace:      1,
		}
		if i%3 == 0 {
			engines[i].Pace = 1.3
		}
	}
	var lengths Lengths
	lengths.Record(tokens*minKnownEvents, minKnownEvents)
	all := make([]*simulatedItem, groups*size)
	items := make([]submission.Item, len(all))
	for i := range all {
		length := 15 * math.Exp(0.6*random.NormFloat64())
		if random.Float64() < 0.08 {
			length *= 5
		}
		length = min(max(1, length), 132)
		estimate := int(length * tokens * math.Exp(0.5*random.NormFloat64()))
		all[i] = &simulatedItem{
			length:   length,
			estimate: estimate,
			group:    i / size,
			engine:   -1,
		}
		items[i].ExpectedTokens = estimate
	}
	queue := Order(items, nil)
	left := make([]int, groups)
	for i := range left {
		left[i] = size
	}
	whole := 0
	for now := time.Duration(0); ; now += tick {
		for len(queue) > 0 {
			at := pick(engines, Need{
				ExpectedDuration: time.Duration(lengths.Events(all[queue[0]].estimate) * float64(interval)),
				Waited:           now,
			})
			if at < 0 {
				break
			}
			engines[at].FreeSlots--
			all[queue[0]].engine = at
			all[queue[0]].begun = now
			queue = queue[1:]
		}
		for _, r := range all {
			if r.engine < 0 || r.done > 0 {
				continue
			}
			e := engines[r.engine]
			r.generated += float64(tick) / (float64(interval) * e.Pace * (1 + (slotsSlowdown+memorySlowdown)*(1-e.FreeSlots/8)))
			if r.generated < r.length {
				continue
			}
			r.done = now + tick
			engines[r.engine].FreeSlots++
			if left[r.group]--; left[r.group] == 0 {
				if whole++; whole == wanted {
					return r.done
				}
			}
		}
		if !moveToFaster || len(queue) > 0 {
			continue
		}
		for _, r := range all {
			to := pick(engines, Need{})
			if to < 0 || r.engine < 0 || r.done > 0 || r.engine == to {
				continue
			}
			p := Progress{
				Events:         int(r.generated),
				TotalEvents:    int(r.generated),
				Moves:          r.moves,
				ExpectedEvents: lengths.Events(r.estimate),
				Pace:           engines[r.engine].Pace,
			}
			if MoveGain(p, interval, engines[to].Pace) == 0 {
				continue
			}
			engines[r.engine].FreeSlots++
			engines[to].FreeSlots--
			r.engine = to
			r.moves++
		}
	}
}

// pickMostFreeSlots picks the engine with the most free slots, whatever its pace.
func pickMostFreeSlots(engines []Engine, _ Need) int {
	best := -1
	for i, e := range engines {
		if e.FreeSlots >= 1 && (best < 0 || e.FreeSlots > engines[best].FreeSlots) {
			best = i
		}
	}
	return best
}

// Guards against picking by free slots alone. A third of the engines is of an older
// kind; picked by free slots, a step lasts as long as its longest item takes there, 8.5
// seconds of the 7 that its trainer has, and the trainer falls behind step by step.
func TestPickByPaceShortensSteps(t *testing.T) {
	is := is.New(t)
	var before, after []time.Duration
	for seed := range uint64(60) {
		before = append(before, simulateStep(seed, pickMostFreeSlots, false))
		after = append(after, simulateStep(seed, Pick, true))
	}
	for _, list := range [][]time.Duration{before, after} {
		sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	}
	t.Logf("by free slots: half within %s, nine tenths within %s, all within %s", before[30], before[54], before[59])
	t.Logf("by pace:       half within %s, nine tenths within %s, all within %s", after[30], after[54], after[59])
	is.True(after[54] < 6900*time.Millisecond)
	is.True(after[59] < 7300*time.Millisecond)
	is.True(before[54] > 7500*time.Millisecond) // the simulated load reproduces the failure
}

// Guards against an item that is sent to an engine of another model which has not
// recently reported a free slot.
func TestEnginesOfOtherModelsNeedRecentReportOfFreeSlot(t *testing.T) {
	is := is.New(t)
	is.True(Engine{}.OpenToCrowdedStep())
	is.Equal(Engine{OtherModel: true, FreeSlots: 3, ReportAge: time.Hour}.OpenToCrowdedStep(), false)
	is.Equal(Engine{OtherModel: true, FreeSlots: 0.5, ReportAge: 0}.OpenToCrowdedStep(), false)
	is.True(Engine{OtherModel: true, FreeSlots: 1, ReportAge: maxOtherModelReportAge}.OpenToCrowdedStep())
}

// Guards against a step with few items that stays at older engines while fast ones of
// other models are free.
func TestSmallStepsUseAllEngines(t *testing.T) {
	is := is.New(t)
	is.Equal(CrowdsOwnEngines(90, 128), false)
	is.Equal(CrowdsOwnEngines(2*128, 128), false)
	is.True(CrowdsOwnEngines(2*128+1, 128))
	is.Equal(CrowdsOwnEngines(1000, 0), false) // no engine is assigned to its model
}

// Guards against streams that cross regions while equal engines near by are free, and against near
// engines that are filled although they are much slower.
func TestPickPrefersEnginesOfTheRegion(t *testing.T) {
	is := is.New(t)
	engines := []Engine{
		{FreeSlots: 8, Slots: 8, Pace: 1, OtherRegion: true},
		{FreeSlots: 7, Slots: 8, Pace: 1},
	}
	is.Equal(Pick(engines, Need{ExpectedDuration: 3 * time.Second}), 1)
	engines[1].Pace = 1.3
	is.Equal(Pick(engines, Need{ExpectedDuration: 3 * time.Second}), 0)
}
