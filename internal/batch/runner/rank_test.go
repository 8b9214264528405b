package runner

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/batch/ledger"
	"github.com/egretbend/egretbend/internal/batch/submission"
)

// A trainer submits three times the work that its engines can do in time. The
// items of the group with the least work must run first, although others are
// longer: started longest first across all groups, no group would be whole
// when the step is due. There is no time for the other groups, which follow
// longest first.
func TestOverloadedStepRunsGroupByGroup(t *testing.T) {
	is := is.New(t)
	b := newTestBench(t, nil)
	b.route.ResultDeadline = 7 * time.Second
	b.runner.lengths.Record(10_000, 100) // a hundred tokens per event
	sub := b.newSubmission()
	sub.WantedGroups = 3
	for _, group := range []string{"large", "small", "middle"} {
		for n := range 4 {
			sub.Items = append(sub.Items, submission.Item{
				ID:             group + string(rune('0'+n)),
				Group:          group,
				ExpectedTokens: map[string]int{"large": 12_000, "middle": 9_000, "small": 6_000}[group],
			})
		}
	}
	batch := newBatch(sub, ledger.Claim{}, nil, nil, nil)
	batch.route, batch.service = b.route, "s"
	batch.medianPace = 50 * time.Millisecond
	batch.submittedAt = b.clock.Now()
	batch.mu.Lock()
	b.runner.rankQueue(batch, 0, b.clock.Now().Add(rankInterval))
	is.True(batch.overloaded)
	var order []string
	for _, task := range batch.queue {
		order = append(order, task.item.Group)
	}
	batch.mu.Unlock()
	is.Equal(slices.Compact(order), []string{"small", "large", "middle"})
	// In a step that has time, an item whose stream broke stays at the front.
	batch.mu.Lock()
	batch.overloaded = false
	batch.route.ResultDeadline = time.Hour
	first := batch.queue[0]
	first.attempts = 1
	b.runner.rankQueue(batch, 0, b.clock.Now().Add(2*rankInterval))
	is.Equal(batch.queue[0], first)
	// Without a result deadline a step is never overloaded.
	batch.route.ResultDeadline = 0
	b.runner.rankQueue(batch, 0, b.clock.Now().Add(3*rankInterval))
	is.Equal(batch.overloaded, false)
	batch.overloaded = true
	batch.mu.Unlock()
	// With enough time the longest items start first.
	batch.route.ResultDeadline = time.Hour
	first.attempts = 0
	batch.mu.Lock()
	b.runner.rankQueue(batch, 0, b.clock.Now().Add(4*rankInterval))
	is.Equal(batch.overloaded, false)
	is.Equal(batch.queue[0].item.Group, "large")
	batch.mu.Unlock()
}

// Guards against a step that plans its groups with the slots of other models whose steps
// crowd them: with four slots instead of two it would not count as overloaded, and no group
// would be whole in time. While no step crowds its share all slots count.
func TestStepRanksByUsableSlots(t *testing.T) {
	is := is.New(t)
	b := newTestBench(t, nil)
	sub := b.newSubmission("x", "y", "z")
	batch := newBatch(sub, ledger.Claim{}, nil, nil, nil)
	batch.route, batch.service = b.route, "s"
	assignment := fixedAssignment{
		models: map[string]string{"one": "m", "two": "n"},
	}
	totalSlots := func() int {
		batch.mu.Lock()
		defer batch.mu.Unlock()
		return b.runner.totalSlots(batch, b.clock.Now())
	}
	is.Equal(totalSlots(), 4)
	b.runner.EngineAssignment = assignment
	is.Equal(totalSlots(), 4)
	assignment.crowded = map[string]bool{"n": true}
	b.runner.EngineAssignment = assignment
	is.Equal(totalSlots(), 2)
	// An item of the step runs at the other model's engine.
	for _, u := range b.runner.Upstreams.Group("s").Upstreams {
		if u.ID == "two" {
			batch.tasks["x"].phase = running
			batch.tasks["x"].upstream = u
		}
	}
	is.Equal(totalSlots(), 3)
}
