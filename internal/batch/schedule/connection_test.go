package schedule

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a new connection for each stream although equal engines have idle ones, and
// against engines that are filled, or slow ones chosen, for their idle connections.
func TestIdleConnectionDecidesBetweenEqualEngines(t *testing.T) {
	is := is.New(t)
	engines := []Engine{
		{FreeSlots: 8, Slots: 8, Pace: 1, Memory: 74_000},
		{FreeSlots: 8, Slots: 8, Pace: 1, Memory: 74_000, IdleConnection: true},
	}
	for _, need := range []Need{{}, {ExpectedDuration: 500 * time.Millisecond}, {ExpectedDuration: 6 * time.Second}} {
		engines[1].FreeSlots = 7
		is.Equal(Pick(engines, need), 1)
		engines[1].FreeSlots = 8
		engines[1].Pace = 1.2
		if !need.Short() {
			is.Equal(Pick(engines, need), 0)
		}
		engines[1].Pace = 1
		engines[1].Reserved = 20_000
		is.Equal(Pick(engines, need), 0)
		engines[1].Reserved = 0
	}
}
