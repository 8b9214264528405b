// Package departure decides which requests an instance still takes after it was told to stop, and
// until when it answers those that it has.
//
//	d := departure.New(departure.NewTimetable(gracePeriod, addressLifetime), clock)
//	server := &httpserver.Server{BaseContext: d.Context(), ...}
//	if err := d.Admit(departure.Request{...}); err != nil { ... } // before each attempt at a request
//	d.Finished(route, limit, took)                                // for each answered request
//	d.Begin()                                                     // when told to stop
//
// Clients keep the address of an instance for a while, so a leaving one goes on serving. A request
// that can't end before the instance does would be cut off in the middle of its answer. It is refused
// at once instead, not run, and its client turns to another instance.
package departure
