// Package journal writes the log: one line of key=value pairs an event.
//
//	j := journal.Open(os.Stderr, "info", "mechelen-a-1")
//	j.Decision("route", log.Fields{"chosen": "desk-3", "candidates": 8, "reason": "two_choices"})
//
// A decision line is written for every routing or placement decision and says
// what was chosen, from how many, and why.
package journal
