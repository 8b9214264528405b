package schedule

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A trainer waits for so many groups, whichever come first, and for all that come
// again. Were the longest of all taken for the end, its reads would be timed by a
// group that it never waits for.
func TestStepEndsWithItsWantedGroups(t *testing.T) {
	is := is.New(t)
	groups := []time.Duration{5 * time.Second, time.Second, 3 * time.Second}
	is.Equal(Ending{Groups: groups, Missing: 2}.Left(), 3*time.Second)
	is.Equal(Ending{Groups: groups, Again: []time.Duration{4 * time.Second}, Missing: 2}.Left(), 4*time.Second)
	is.Equal(Ending{Groups: groups, Again: []time.Duration{time.Second}, Missing: 4}.Left(), 5*time.Second)
	is.Equal(Ending{Groups: groups, Missing: 4}.Left(), time.Duration(0)) // some are of no known end
	is.Equal(Ending{Groups: groups}.Left(), time.Duration(0))             // whole already
}
