package runner

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/catalog"
)

// All fast engines were full when a long text began, so it runs at an engine of an
// older kind, where it takes two seconds longer than its step has. When a slot of a
// fast one is free it goes on there, after its last whole event.
func TestLongTextMovesToAFasterEngine(t *testing.T) {
	is := is.New(t)
	const length = 100
	var b *bench
	b = newBench(t, func(ctx context.Context, u *catalog.Upstream, g Generation, emit func(Event) error) error {
		if u.ID != "old" {
			return events(g.After, length, 5, emit)
		}
		for n := g.After + 1; n <= length; n++ {
			if !timer.Wait(b.clock, 65*time.Millisecond, ctx.Done()) {
				return ctx.Err()
			}
			if err := events(n-1, n, 5, emit); err != nil {
				return err
			}
		}
		return nil
	})
	b.runner.Book.Update([]catalog.Listed{
		{ID: "old", Service: "s", Address: "old", Slots: 2, Versions: map[string]uint64{"m": 5}},
		{ID: "three", Service: "s", Address: "three", Slots: 2, Versions: map[string]uint64{"m": 5}},
	}, nil)
	b.runner.lengths.Finished(80*length, length)
	var fast []*catalog.Upstream
	for _, u := range b.runner.Book.Group("s").Upstreams {
		pace := 50 * time.Millisecond
		if u.ID == "old" {
			pace = 65 * time.Millisecond
		} else {
			fast = append(fast, u)
			u.Begin()
			u.Begin()
		}
		u.Measured(pace, b.clock.Now())
	}
	sub := b.batch("x")
	sub.Items[0].ExpectedTokens = 80 * length
	is.NoErr(b.runner.Submit(context.Background(), sub, b.route))
	until(func() bool {
		b.script.mu.Lock()
		defer b.script.mu.Unlock()
		return len(b.script.calls) == 1
	})
	timer.Wait(timer.Real{}, 30*time.Millisecond, nil) // some events of the old engine
	fast[0].Ended()
	got := b.results(1)
	is.Equal(len(got), 1)
	b.script.mu.Lock()
	defer b.script.mu.Unlock()
	is.Equal(len(b.script.calls), 2)
	is.True(b.script.calls[1].After >= 4)
	is.True(b.script.calls[1].After < length)
}

// An engine turns four times slower. Its streams are moved after four events, and
// nobody learnt of its pace by them: it got new items again and again, and some
// were moved eight times.
func TestMovedStreamsTellOfTheirEngine(t *testing.T) {
	is := is.New(t)
	task := &task{}
	at := timer.Instant(time.Second)
	for n := range 4 {
		is.True(task.add(Event{Number: n + 1}, at))
		at = at.Add(200 * time.Millisecond)
	}
	_, ok := task.pace(paceSpan)
	is.True(!ok) // too few while it runs
	pace, ok := task.pace(leastSpan)
	is.True(ok)
	is.Equal(pace, 200*time.Millisecond)
}

// An engine goes dark with items in its slots, and new ones are sent to it. The
// first that is given up takes it out; each other would stand still for a third of
// a second there.
func TestDarkEngineGetsNoMoreItems(t *testing.T) {
	is := is.New(t)
	b := newBench(t, func(ctx context.Context, u *catalog.Upstream, g Generation, emit func(Event) error) error {
		if u.ID == "one" {
			<-ctx.Done()
			return ctx.Err()
		}
		return events(g.After, 4, 5, emit)
	})
	is.NoErr(b.submit("x", "y", "z"))
	is.Equal(len(b.results(3)), 3)
	for _, u := range b.runner.Book.Group("s").Upstreams {
		if u.ID == "one" {
			is.True(u.Out(b.clock.Now()))
		}
	}
}
