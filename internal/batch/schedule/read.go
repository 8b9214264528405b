package schedule

import (
	"time"
)

// The times of reads. A trainer begins a read half a second after the one before
// began, or at once after one that waited longer, and looks at what it has read
// just then. The end of a step that meets a read in its first half second is so
// seen late.
const (
	// readPause is the least wait after which a trainer reads again at once.
	readPause = 550 * time.Millisecond
	// readLongest is how long a read waits for results at the most.
	readLongest = time.Second
	// readBest is how long the read before the end should still have to go when
	// it is answered: the estimate of the end may be off to both sides.
	readBest = 800 * time.Millisecond
)

// Reading is a read of a trainer that waits for results.
type Reading struct {
	// Waited is how long it has waited.
	Waited time.Duration
	// Left is the time until the step is expected to end; 0 if unknown.
	Left time.Duration
}

// Turn reports whether the read is answered now with what there is, so that the
// next one has waited long enough when the step ends. A read that runs into its
// longest wait just before the end is followed by one whose answer the trainer
// looks at only half a second later, and it stands still for that time.
func (r Reading) Turn() bool {
	if r.Waited < readPause || r.Left <= 0 {
		return false
	}
	rest := readLongest - r.Waited
	if r.Left <= rest {
		return false
	}
	return r.Left-rest < readPause && r.Left <= readBest
}
