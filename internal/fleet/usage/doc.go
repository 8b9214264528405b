// Package usage counts how many requests of each organisation began to run in each time
// window, and reports each window once.
//
// Each instance counts with a Meter:
//
//	meter := &usage.Meter{
//		WindowLength: 5 * time.Second,
//		Now:          clock.Now,
//	}
//	undo := meter.RequestStarted("saddlers")
//	undo() // the upstream did not run the request
//
// A Sender sends all recent counts each time, to two Collectors in the failure domain of
// the instance. So the counts survive the loss of an instance, and the one instance
// that reports, the holder of the duty, asks only the collectors. Its Reporter stores a
// report before it sends it, so an instance that takes over either sends exactly the same
// report again or continues with the next window.
package usage
