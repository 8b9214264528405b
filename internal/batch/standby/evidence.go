package standby

import "time"

// Answer is what came of a question to an owner.
type Answer int

// The answers.
const (
	// Unasked means that the instance that was to ask could not be reached.
	Unasked Answer = iota
	// Alive means that this life of the owner answered.
	Alive
	// Replaced means that another life of the owner answered.
	Replaced
	// Refused means that nothing listens at the owner's address.
	Refused
	// Silent means that nothing came in time.
	Silent
)

var answerNames = [...]string{"unasked", "alive", "replaced", "refused", "silent"}

// String returns the word for logs.
func (a Answer) String() string { return answerNames[a] }

// gone reports whether the answer speaks against the owner.
func (a Answer) gone() bool { return a == Refused || a == Silent }

// silentAfter is how much later than it was due a heartbeat may be before its sender is
// asked. Instances whose processor is used up pause for some tenths of a second.
const silentAfter = 500 * time.Millisecond

// Evidence is what is known of an owner whose heartbeats don't come.
type Evidence struct {
	// Silence is the time since the last heartbeat, Every when the next one was due.
	Silence, Every time.Duration
	// Leaves says that the last heartbeat was meant to be the last one.
	Leaves bool
	// Own is the answer to this instance, Others are those to other instances.
	Own    Answer
	Others []Answer
}

// Suspect reports whether the owner is to be asked.
func (e Evidence) Suspect() bool { return e.Leaves || e.Silence >= e.Every+silentAfter }

// Lost reports whether the owner is lost, and why or why not. A refused connection is
// certain, as the process is gone. Silence may lie in the path between two instances:
// only one more observer that hears nothing makes it certain, and one that hears the
// owner ends the suspicion.
func (e Evidence) Lost() (bool, string) {
	if e.Own == Alive {
		return false, "it answers"
	}
	agree := 0
	for _, a := range e.Others {
		if a == Alive {
			return false, "another instance reaches it"
		}
		if a.gone() {
			agree++
		}
	}
	switch {
	case e.Own == Replaced:
		return false, "it was started again"
	case e.Own == Refused:
		return true, "it refuses connections"
	case e.Own.gone() && agree > 0:
		return true, "nobody reaches it"
	}
	return false, "nobody else could ask it"
}
