package schedule

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against reads that are timed by a group that the trainer never waits for: a
// trainer waits for a number of groups, whichever are whole first, and for all
// carried-over ones, so the longest of all groups is not the end of the step.
func TestStepEndLeftCountsWantedGroups(t *testing.T) {
	is := is.New(t)
	groups := []time.Duration{5 * time.Second, time.Second, 3 * time.Second}
	is.Equal(StepEnd{Groups: groups, MissingGroups: 2}.Left(), 3*time.Second)
	is.Equal(StepEnd{Groups: groups, CarriedOver: []time.Duration{4 * time.Second}, MissingGroups: 2}.Left(), 4*time.Second)
	is.Equal(StepEnd{Groups: groups, CarriedOver: []time.Duration{time.Second}, MissingGroups: 4}.Left(), 5*time.Second)
	is.Equal(StepEnd{Groups: groups, MissingGroups: 4}.Left(), time.Duration(0)) // the end of some groups is unknown
	is.Equal(StepEnd{Groups: groups}.Left(), time.Duration(0))                   // all wanted groups are whole already
}
