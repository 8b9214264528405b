package runner

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/catalog"
)

// All slots of the fast engines are taken when a long text begins, so it runs at
// an engine of an older, slower kind, where it would take two seconds longer than
// its step has. When a fast engine has a free slot, the text must continue there
// after its last complete event.
func TestLongTextMovesToAFasterEngine(t *testing.T) {
	is := is.New(t)
	const length = 100
	var b *testBench
	b = newTestBench(t, func(ctx context.Context, u *catalog.Upstream, attempt Attempt, emit func(Event) error) error {
		if u.ID != "old" {
			return emitEvents(attempt.After, length, 5, emit)
		}
		for n := attempt.After + 1; n <= length; n++ {
			if !timer.Wait(b.clock, 65*time.Millisecond, ctx.Done()) {
				return ctx.Err()
			}
			if err := emitEvents(n-1, n, 5, emit); err != nil {
				return err
			}
		}
		return nil
	})
	b.runner.Upstreams.Update([]catalog.Entry{
		{ID: "old", Service: "s", Address: "old", Slots: 2, Versions: map[string]uint64{"m": 5}},
		{ID: "three", Service: "s", Address: "three", Slots: 2, Versions: map[string]uint64{"m": 5}},
	}, nil)
	b.runner.lengths.Record(80*length, length)
	var fast []*catalog.Upstream
	for _, u := range b.runner.Upstreams.Group("s").Upstreams {
		pace := 50 * time.Millisecond
		if u.ID == "old" {
			pace = 65 * time.Millisecond
		} else {
			fast = append(fast, u)
			u.Begin()
			u.Begin()
		}
		u.RecordPace(pace, b.clock.Now())
	}
	sub := b.newSubmission("x")
	sub.Items[0].ExpectedTokens = 80 * length
	is.NoErr(b.runner.Submit(context.Background(), sub, b.route))
	eventually(func() bool {
		b.generator.mu.Lock()
		defer b.generator.mu.Unlock()
		return len(b.generator.calls) == 1
	})
	timer.Wait(timer.Real{}, 30*time.Millisecond, nil) // the old engine makes some events
	fast[0].Cancelled()
	got := b.waitForResults(1)
	is.Equal(len(got), 1)
	b.generator.mu.Lock()
	defer b.generator.mu.Unlock()
	is.Equal(len(b.generator.calls), 2)
	is.True(b.generator.calls[1].After >= 4)
	is.True(b.generator.calls[1].After < length)
}

// Guards against an engine that becomes four times slower and keeps getting new
// items, some of which were moved eight times: its streams are moved after four
// events, which must be enough to measure its pace.
func TestMovedStreamMeasuresItsEngine(t *testing.T) {
	is := is.New(t)
	task := &task{}
	at := timer.Instant(time.Second)
	for n := range 4 {
		is.True(task.addEvent(Event{Number: n + 1}, at))
		at = at.Add(200 * time.Millisecond)
	}
	_, ok := task.pace(paceEvents)
	is.True(!ok) // too few for a running attempt
	pace, ok := task.pace(minPaceEvents)
	is.True(ok)
	is.Equal(pace, 200*time.Millisecond)
}

// An engine stops responding while items run there, and new ones are sent to it.
// The first item that is moved away must take the engine out of use; otherwise
// each further item would stall there for a third of a second.
func TestUnresponsiveEngineGetsNoMoreItems(t *testing.T) {
	is := is.New(t)
	b := newTestBench(t, func(ctx context.Context, u *catalog.Upstream, attempt Attempt, emit func(Event) error) error {
		if u.ID == "one" {
			<-ctx.Done()
			return ctx.Err()
		}
		return emitEvents(attempt.After, 4, 5, emit)
	})
	is.NoErr(b.submit("x", "y", "z"))
	is.Equal(len(b.waitForResults(3)), 3)
	for _, u := range b.runner.Upstreams.Group("s").Upstreams {
		if u.ID == "one" {
			is.True(u.Ejected(b.clock.Now()))
		}
	}
}
