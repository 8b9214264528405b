package schedule

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against streams that leave an engine which reads prompts, and against streams that
// stay for longer at one which doesn't respond: only what reading explains is waited for.
func TestReadingPromptsIsNoStall(t *testing.T) {
	is := is.New(t)
	interval := 50 * time.Millisecond
	first := Progress{SinceLastEvent: 450 * time.Millisecond, Ran: 450 * time.Millisecond}
	is.True(ShouldMove(first, interval, true))
	first.Reading = 350 * time.Millisecond
	is.Equal(ShouldMove(first, interval, true), false)
	first.SinceLastEvent = 530 * time.Millisecond
	is.True(ShouldMove(first, interval, true)) // longer than the reading explains
	first.Reading = time.Minute
	first.SinceLastEvent = maxReading + time.Millisecond
	is.True(ShouldMove(first, interval, true))
	brief := Progress{SinceLastEvent: 310 * time.Millisecond, Reading: 100 * time.Millisecond}
	is.True(ShouldMove(brief, interval, true)) // as fast as without reading times
	silent := Progress{Events: 3, SinceLastEvent: 310 * time.Millisecond, Reading: time.Second}
	is.True(ShouldMove(silent, interval, true)) // its prompt is read
}

// Guards against a stream that counts as slow because its first event came late, while
// the engine read prompts, and against one that is kept at a slow engine.
func TestReadingPromptsIsNotSlow(t *testing.T) {
	is := is.New(t)
	interval := 50 * time.Millisecond
	p := Progress{Events: 4, Ran: 650 * time.Millisecond, FirstEventAfter: 500 * time.Millisecond, SinceLastEvent: 10 * time.Millisecond}
	is.True(ShouldMove(p, interval, true))
	p.Reading = 450 * time.Millisecond
	is.Equal(ShouldMove(p, interval, true), false)
	p.Ran = 1200 * time.Millisecond // four times slower after its first event
	is.True(ShouldMove(p, interval, true))
}

// Guards against reading times that are made up before any prompt was read.
func TestPromptReading(t *testing.T) {
	is := is.New(t)
	var r PromptReading
	is.Equal(r.Expected(1000), time.Duration(0))
	for range 10 {
		r.Record(1000, 100*time.Millisecond)
	}
	r.Record(0, time.Hour)
	r.Record(1000, -time.Second)
	is.Equal(r.Expected(2200).Round(time.Millisecond), 200*time.Millisecond)
}

// Guards against moves while all engines of a step read its prompts, and against staying at
// engines that fail: others are not slow then, or few engines are.
func TestSlowTogether(t *testing.T) {
	is := is.New(t)
	interval := 50 * time.Millisecond
	slow := Progress{SinceLastEvent: 400 * time.Millisecond, Ran: 400 * time.Millisecond}
	var all []Stream
	for _, e := range []string{"a", "a", "b", "c", "d"} {
		all = append(all, Stream{Engine: e, Progress: slow})
	}
	is.True(SlowTogether(all, 8, interval, 400*time.Millisecond))
	is.Equal(SlowTogether(all, 9, interval, 400*time.Millisecond), false) // most engines are not known to be slow
	is.Equal(SlowTogether(all[:4], 3, interval, 400*time.Millisecond), false)
	is.Equal(SlowTogether(all, 8, interval, 2*time.Second), false) // the prompts of the start are read by then
	begun := append(all, Stream{Engine: "e", Progress: Progress{SinceLastEvent: 20 * time.Millisecond}})
	is.True(SlowTogether(begun, 8, interval, 400*time.Millisecond)) // one that has just begun says nothing
	healthy := append(all, Stream{Engine: "e", Progress: Progress{Events: 2, SinceLastEvent: 20 * time.Millisecond, Ran: 300 * time.Millisecond}})
	is.Equal(SlowTogether(healthy, 8, interval, 400*time.Millisecond), false)
}

// Guards against optional moves that cost more than they gain, and against streams that
// stay at an engine which has become several times slower.
func TestGainExceedsCostAndNoise(t *testing.T) {
	is := is.New(t)
	interval := 50 * time.Millisecond
	p := Progress{Events: 10, TotalEvents: 10, ExpectedEvents: 40, Pace: 1.3}
	is.Equal(MoveGain(p, interval, 1).Round(time.Millisecond), 450*time.Millisecond)
	p.MoveCost = 100 * time.Millisecond
	is.Equal(MoveGain(p, interval, 1).Round(time.Millisecond), 350*time.Millisecond)
	p.MoveCost = 250 * time.Millisecond
	is.Equal(MoveGain(p, interval, 1), time.Duration(0))
	p.MoveCost, p.ExpectedEvents = 0, 110
	p.PaceNoise = 0.2
	is.Equal(MoveGain(p, interval, 1), time.Duration(0))
	p.Pace = 1.6 // an engine that has just become two and a half times slower
	is.Equal(MoveGain(p, interval, 1).Round(time.Millisecond), 3*time.Second)
}

// stepStartMoves simulates the first second and a half of a step and returns how many
// streams move as failing. 16 engines get seven prompts of 260 tokens at once and read one
// after the other, the engine with the number hung, if any, never does. It also returns when
// the last stream left the hung engine.
func stepStartMoves(seed uint64, known bool, hung int) (moves int, left time.Duration) {
	const (
		tick     = 100 * time.Millisecond
		interval = 50 * time.Millisecond
		prompt   = 260
		perToken = 250 * time.Microsecond
	)
	random := rand.New(rand.NewPCG(seed, 1))
	var reading PromptReading
	if known {
		for range 20 {
			reading.Record(prompt, prompt*perToken)
		}
	}
	type stream struct {
		engine     int
		firstEvent time.Duration
		queued     int64
		moved      bool
	}
	var streams []*stream
	for e := range 16 {
		speed := 0.8 + 0.4*random.Float64()
		for n := range 7 {
			s := &stream{engine: e, queued: 7 * prompt}
			s.firstEvent = interval + time.Duration(float64(n+1)*prompt*float64(perToken)*speed)
			if e == hung {
				s.firstEvent = time.Hour
			}
			streams = append(streams, s)
		}
	}
	for now := tick; now <= stepStart; now += tick {
		for _, s := range streams {
			if s.moved || now >= s.firstEvent {
				continue
			}
			p := Progress{SinceLastEvent: now, Ran: now, Reading: reading.Expected(s.queued)}
			if ShouldMove(p, interval, true) {
				s.moved = true
				moves++
				if s.engine == hung {
					left = now
				}
			}
		}
	}
	return moves, left
}

// Guards against streams that leave engines which read prompts at the start of a step: they
// had no event after 400 ms, and each move made another engine read the prompt again.
func TestStepStartMovesFew(t *testing.T) {
	is := is.New(t)
	before, after := 0, 0
	for seed := range uint64(20) {
		n, _ := stepStartMoves(seed, false, -1)
		before += n
		n, _ = stepStartMoves(seed, true, -1)
		after += n
	}
	t.Logf("moves at the start of 20 steps: %d before, %d after", before, after)
	is.True(before > 20*16) // the simulated load reproduces the moves
	is.Equal(after, 0)
	_, leftBefore := stepStartMoves(1, false, 3)
	_, left := stepStartMoves(1, true, 3)
	t.Logf("a hung engine with seven prompts is left after %s before, %s after", leftBefore, left)
	is.True(left > 0 && left <= 800*time.Millisecond)
}
