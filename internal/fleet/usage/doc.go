// Package usage counts how many requests of each organisation began to run in each
// window of time, and reports each window once.
//
// An instance counts with its Meter and sends two collectors of its failure domain,
// each time, all that it counted lately:
//
//	meter := &usage.Meter{
//		Length: 5 * time.Second,
//		Now:    clock.Now,
//	}
//	undo := meter.Began("saddlers")
//	undo() // the upstream says that it did not run it
//
// So a count outlives its instance, and the one instance that reports asks the
// collectors only. It writes a report down before it sends it: whoever takes over sends
// exactly that one again, or goes on with the next window.
package usage
