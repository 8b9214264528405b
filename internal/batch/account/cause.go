package account

// Cause is what a part of a step's time was spent on.
type Cause int

// The causes, in the order in which they come in a step.
const (
	// Acceptance is the time from the submission until the batch was stored.
	Acceptance Cause = iota
	// Owners is what changes of the owner cost: the time without one, and the
	// events that the new one did not find.
	Owners
	// Waiting is the critical item's time without an engine.
	Waiting
	// Making is the critical item's lower bound: its events at the usual pace.
	Making
	// Slowness is what it ran beyond that while events came.
	Slowness
	// Standstill is its time at engines without any event.
	Standstill
	// Remaking is the time of events that were dropped and made again.
	Remaking
	// Scoring is the time of its reward call.
	Scoring
	// Listing is the time until its result was stored and listed.
	Listing
	// Reading is the time until the trainer had read it and ended the step.
	Reading

	causes
)

var names = [causes]string{"acceptance", "owners", "waiting", "making", "slowness", "standstill", "remaking", "scoring", "listing", "reading"}

// String returns the cause's name, as in the JSON form.
func (c Cause) String() string { return names[c] }

// MarshalText implements encoding.TextMarshaler.
func (c Cause) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// Causes returns all causes in order.
func Causes() []Cause {
	list := make([]Cause, causes)
	for i := range list {
		list[i] = Cause(i)
	}
	return list
}
