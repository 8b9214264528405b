package steptime

// Cause is what a part of a step's time was spent on.
type Cause int

// The causes, in the order in which they occur in a step.
const (
	// Acceptance is the time from the submission until the batch was stored.
	Acceptance Cause = iota
	// Owners is the cost of owner changes: the time without an owner, and the time of
	// the events that the new owner did not find.
	Owners
	// Waiting is the time that the critical item spent without an engine.
	Waiting
	// Generating is the lower bound of the critical item: its events at the pace of a lightly
	// loaded engine.
	Generating
	// Slowness is the run time of the critical item beyond Generating, without Stalled and
	// Regenerating.
	Slowness
	// Stalled is the time that the critical item spent at engines without receiving
	// events.
	Stalled
	// Regenerating is the time of events that were dropped and generated again.
	Regenerating
	// Scoring is the time of the critical item's reward call.
	Scoring
	// Listing is the time until the critical item's result was stored and listed.
	Listing
	// Reading is the time until the trainer had read that result and ended the step.
	Reading

	causeCount
)

var causeNames = [causeCount]string{"acceptance", "owners", "waiting", "making", "slowness", "standstill", "remaking", "scoring", "listing", "reading"}

// String returns the name of the cause, as used in the JSON form.
func (c Cause) String() string { return causeNames[c] }

// MarshalText implements encoding.TextMarshaler.
func (c Cause) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// Causes returns all causes in the order of their constants.
func Causes() []Cause {
	list := make([]Cause, causeCount)
	for i := range list {
		list[i] = Cause(i)
	}
	return list
}
