package standby

import "time"

// Answer is the result of asking an owner whether it is alive.
type Answer int

// The results of asking an owner.
const (
	// Unasked means that the instance that should have asked could not be reached.
	Unasked Answer = iota
	// Alive means that the expected incarnation of the owner answered.
	Alive
	// Replaced means that another incarnation of the owner answered.
	Replaced
	// Refused means that nothing listens at the owner's address.
	Refused
	// Silent means that no answer arrived in time.
	Silent
)

var answerNames = [...]string{"unasked", "alive", "replaced", "refused", "silent"}

// String returns the name of the answer in log lines.
func (a Answer) String() string { return answerNames[a] }

// unreachable reports whether the owner could not be reached.
func (a Answer) unreachable() bool { return a == Refused || a == Silent }

// heartbeatGrace is how late a heartbeat may be before its sender is asked. Instances that
// have used up their CPU quota pause for some tenths of a second.
const heartbeatGrace = 500 * time.Millisecond

// Evidence is what is known about an owner whose heartbeats don't arrive.
type Evidence struct {
	// Silence is the time since the last heartbeat, Every the time from it to the next one.
	Silence, Every time.Duration
	// Leaves means that the last heartbeat announced that the owner stops.
	Leaves bool
	// OwnAnswer is the answer that this instance got, ObserverAnswers are those of the
	// observers.
	OwnAnswer       Answer
	ObserverAnswers []Answer
}

// Suspect reports whether the owner should be asked.
func (e Evidence) Suspect() bool { return e.Leaves || e.Silence >= e.Every+heartbeatGrace }

// Lost reports whether the owner is lost, and the reason. A refused connection is
// conclusive, since the process is gone. Silence may be due to the path between two
// instances: it is conclusive only if at least one observer can't reach the owner either,
// and no observer gets an answer from it.
func (e Evidence) Lost() (bool, string) {
	if e.OwnAnswer == Alive {
		return false, "the owner answered"
	}
	confirmations := 0
	for _, a := range e.ObserverAnswers {
		if a == Alive {
			return false, "another instance reached the owner"
		}
		if a.unreachable() {
			confirmations++
		}
	}
	switch {
	case e.OwnAnswer == Replaced:
		return false, "the owner was restarted"
	case e.OwnAnswer == Refused:
		return true, "the owner refuses connections"
	case e.OwnAnswer.unreachable() && confirmations > 0:
		return true, "no instance reached the owner"
	}
	return false, "no other instance could ask the owner"
}
