package schedule

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a step that plans its groups with slots that other steps hold.
func TestUsableSlots(t *testing.T) {
	is := is.New(t)
	own := StepEngine{Slots: 6, FreeSlots: 6, ReportAge: time.Hour}
	other := StepEngine{Slots: 6, FreeSlots: 4, OtherModel: true, ReportAge: time.Hour}
	is.Equal(UsableSlots([]StepEngine{own, own, other}, true), 12)
	// Slots that the step has borrowed, and slots that another instance has.
	other.StepItems, other.InFlight = 2, 2
	own.FreeSlots, own.InFlight, own.StepItems, own.ReportAge = 1.5, 3, 3, 0
	is.Equal(UsableSlots([]StepEngine{own, other}, true), 6)
	is.Equal(UsableSlots([]StepEngine{own, other}, false), 6)
	// A step that does not crowd its engines also uses reported free slots of others.
	other.ReportAge = 0
	is.Equal(UsableSlots([]StepEngine{own, other}, true), 6)
	is.Equal(UsableSlots([]StepEngine{own, other}, false), 10)
	other.FreeSlots = -1
	is.Equal(UsableSlots([]StepEngine{own, other}, false), 6)
	// The step's own items count even if the estimate says otherwise.
	own.FreeSlots, own.InFlight = -6, 3
	is.Equal(UsableSlots([]StepEngine{own}, true), 3)
}
