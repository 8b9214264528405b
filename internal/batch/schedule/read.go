package schedule

import (
	"time"
)

// Times of a trainer's reads. A trainer begins a read half a second after the previous
// one began, or at once if that one waited longer, and processes the results of the
// previous read only then. So it notices the end of a step late if that falls into the
// first half second of a read.
const (
	// minReadWait is the least wait of a read after which the trainer begins the next
	// one at once.
	minReadWait = 550 * time.Millisecond
	// maxReadWait is how long a read waits for results at most.
	maxReadWait = time.Second
	// earlyAnswerLead is the longest time before the expected end of the step at which a
	// read is answered early. The next read has then waited that long when the step ends.
	// It lies between minReadWait and maxReadWait, since the estimate of the end may be
	// off in both directions.
	earlyAnswerLead = 800 * time.Millisecond
)

// PendingRead describes a read of a trainer that waits for results.
type PendingRead struct {
	// Waited is how long the read has waited.
	Waited time.Duration
	// UntilEnd is the expected time until the step ends; 0 if unknown.
	UntilEnd time.Duration
}

// AnswerEarly reports whether the read is answered now with the results that there are,
// so that the next read has waited at least minReadWait when the step ends. If the read
// reached its longest wait just before the end instead, the trainer would process the
// answer of the next one only half a second after that began, and would be idle
// meanwhile.
func (r PendingRead) AnswerEarly() bool {
	if r.Waited < minReadWait || r.UntilEnd <= 0 {
		return false
	}
	waitLeft := maxReadWait - r.Waited
	if r.UntilEnd <= waitLeft {
		return false
	}
	return r.UntilEnd-waitLeft < minReadWait && r.UntilEnd <= earlyAnswerLead
}
