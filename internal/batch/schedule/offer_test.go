package schedule

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a delay that grows until an item misses its step, and against one that
// doesn't grow, so that refused sends outnumber the others.
func TestRefusalDelay(t *testing.T) {
	is := is.New(t)
	for refusals, want := range map[int]time.Duration{
		1:   150 * time.Millisecond,
		2:   300 * time.Millisecond,
		3:   600 * time.Millisecond,
		4:   1200 * time.Millisecond,
		100: 1200 * time.Millisecond,
	} {
		is.Equal(RefusalDelay(refusals, false), want)
	}
	is.True(RefusalDelay(1, true) <= 2500*time.Millisecond) // half of the 5 s within which it must be sent
	is.True(RefusalDelay(1, true) > maxRefusalDelay)
}

// Guards against items held back at engines whose memory is unknown or just sufficient.
func TestTooLarge(t *testing.T) {
	is := is.New(t)
	is.True(TooLarge(34_529, 34_528))
	is.Equal(TooLarge(34_528, 34_528), false)
	is.Equal(TooLarge(34_528, 0), false)
}

// queuedItem is an item of the load that replayRefusals runs.
type queuedItem struct {
	tokens    int64
	refusals  int
	notBefore time.Duration
	heldBack  bool
}

// replayRefusals runs 150 items, 38 of which exceed the memory of every engine, for a time at
// eight engines of four slots. It returns the sends that were refused, and how many of the
// other items ran. resend returns the delay after a refusal and whether
// other items go first from then on. blocks is how long an engine gets nothing after a refusal.
func replayRefusals(total time.Duration, resend func(q *queuedItem, memory int64) (time.Duration, bool), blocks time.Duration) (refused, ran int) {
	const (
		tick     = 10 * time.Millisecond
		duration = 800 * time.Millisecond
		memory   = 34_528
	)
	queue := make([]*queuedItem, 150)
	for i := range queue {
		queue[i] = &queuedItem{tokens: memory / 4}
		if i%4 == 0 {
			queue[i].tokens = 2 * memory
		}
	}
	type engineState struct {
		ends   []time.Duration
		closed time.Duration
	}
	engines := make([]engineState, 8)
	for now := time.Duration(0); now < total; now += tick {
		for e := range engines {
			left := engines[e].ends[:0]
			for _, at := range engines[e].ends {
				if at > now {
					left = append(left, at)
				}
			}
			engines[e].ends = left
		}
		for _, last := range []bool{false, true} {
			for i := 0; i < len(queue); i++ {
				q := queue[i]
				if q.heldBack != last || now < q.notBefore {
					continue
				}
				for e := range engines {
					if now < engines[e].closed || len(engines[e].ends) >= 4 {
						continue
					}
					if q.tokens > memory {
						refused++
						q.refusals++
						var delay time.Duration
						delay, q.heldBack = resend(q, memory)
						q.notBefore = now + delay
						if !q.heldBack {
							engines[e].closed = now + blocks
						}
					} else {
						engines[e].ends = append(engines[e].ends, now+duration)
						ran++
						queue = append(queue[:i], queue[i+1:]...)
						i--
					}
					break
				}
			}
		}
	}
	return refused, ran
}

// Guards against items that no engine can hold being sent for the whole time that they have:
// of 150 items 38 exceed the memory of every engine, were refused thousands of times a minute,
// and each refusal closed an engine to the other items for 150 ms.
func TestItemsTooLargeAreOfferedRarely(t *testing.T) {
	is := is.New(t)
	const total = 20 * time.Second
	before, ranBefore := replayRefusals(total, func(*queuedItem, int64) (time.Duration, bool) { return 0, false }, 150*time.Millisecond)
	after, ranAfter := replayRefusals(total, func(q *queuedItem, memory int64) (time.Duration, bool) {
		tooLarge := TooLarge(q.tokens, memory)
		return RefusalDelay(q.refusals, tooLarge), tooLarge
	}, 150*time.Millisecond)
	t.Logf("refused sends in %s: %d before, %d after; of the other 112 items ran %d and %d", total, before, after, ranBefore, ranAfter)
	is.True(before > 1000) // the replay reproduces the load
	is.True(after <= 38*int(1+total/tooLargeDelay))
	is.True(ranBefore < 112) // refusals closed the engines to the others
	is.Equal(ranAfter, 112)
}
