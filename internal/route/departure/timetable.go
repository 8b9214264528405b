package departure

import "time"

// Timetable says what an instance does when, counted from the moment at which it was told to stop.
type Timetable struct {
	// Listen is until when connections are accepted.
	Listen time.Duration
	// Uncertain is until when requests are taken that may outlast the instance but probably don't.
	Uncertain time.Duration
	// Answer is when all requests in progress get their final answer, and streams end.
	Answer time.Duration
	// Close is when connections that are still open are closed.
	Close time.Duration
	// Exit is when the process ends, whether the store was told or not.
	Exit time.Duration
}

// The parts of the grace period that are left for the steps after the last answer, and the most that
// each of them needs.
const (
	answerMarginShare = 8
	maxAnswerMargin   = time.Second
	closeDelayShare   = 40
	maxCloseDelay     = 200 * time.Millisecond
	exitMarginShare   = 16
	maxExitMargin     = 500 * time.Millisecond
)

// The share of the time up to Answer in which connections are accepted: the rest is for the requests that
// come last and for handing over batches.
const (
	listenShare   = 4
	listenShareOf = 7
)

// NewTimetable returns the timetable for a grace period after which the process is killed. Clients
// keep the instance's address for addressLifetime at most, and requests of uncertain length are taken
// for uncertain at most.
func NewTimetable(grace, addressLifetime, uncertain time.Duration) Timetable {
	answer := grace - min(maxAnswerMargin, grace/answerMarginShare)
	return Timetable{
		Listen:    min(addressLifetime, answer*listenShare/listenShareOf),
		Uncertain: min(uncertain, answer/2),
		Answer:    answer,
		Close:     answer + min(maxCloseDelay, grace/closeDelayShare),
		Exit:      grace - min(maxExitMargin, grace/exitMarginShare),
	}
}

// Forecast is what is known of how long a request will take.
type Forecast struct {
	// Limit is the longest time that it may take from now on.
	Limit time.Duration
	// LongerShare is the share of the latest requests of its route that took longer than is left, 0
	// if there were none.
	LongerShare float64
}

// maxLongerShare is the share of requests of a route that may be cut off. Being cut off costs a client
// about ten times as much as going to another instance.
const maxLongerShare = 0.1

// Takes reports whether a request that was read at a time is sent to an upstream now. Both times are
// counted as in Timetable; a request that was read before the instance was told to stop has a time
// below 0.
func (t Timetable) Takes(read, now time.Duration, f Forecast) bool {
	if f.Limit <= t.Answer-now {
		return true
	}
	return read < t.Uncertain && f.LongerShare <= maxLongerShare
}
