package schedule

import (
	"time"
)

// StepEngine is an engine as a step counts the slots that it can use there.
type StepEngine struct {
	Slots int
	// FreeSlots is the estimated number of free slots, and InFlight the number of requests
	// of this instance that the estimate counts as taken.
	FreeSlots float64
	InFlight  int64
	// StepItems is the number of items of the step that run at the engine.
	StepItems int
	// OtherModel reports whether the engine is assigned to another model.
	OtherModel bool
	// ReportAge is the age of the engine's last load report, a long time if it never sent
	// one.
	ReportAge time.Duration
}

// UsableSlots returns how many items of a step can run at once while some step crowds the
// share of its model: the slots of the model's own engines, less those that a recent report
// shows to be taken by other instances, and those that the step has at other engines. A step
// that does not crowd its own engines can also use what other engines recently reported as
// free.
func UsableSlots(engines []StepEngine, crowds bool) int {
	slots := 0
	for _, e := range engines {
		reported := e.ReportAge <= maxOtherModelReportAge
		usable := e.StepItems
		switch {
		case !e.OtherModel && reported:
			usable = max(usable, int(e.FreeSlots)+int(e.InFlight))
		case !e.OtherModel:
			usable = e.Slots
		case !crowds && reported:
			usable += max(0, int(e.FreeSlots))
		}
		slots += min(usable, e.Slots)
	}
	return slots
}
