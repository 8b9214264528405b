// Package journal writes the structured log of an instance: each event is one
// line of key=value pairs in logfmt.
//
//	j, err := journal.Open(os.Stderr, "info", "mechelen-a-1")
//	if err != nil {
//		return err
//	}
//	j.Decision("route", log.Fields{"chosen": "desk-3", "candidates": 8, "reason": "two_choices"})
//
// Every routing or placement decision is logged with what was chosen, from how
// many candidates, and why. A Journal also keeps the latest decisions in memory;
// FindDecisions finds those about a request or sample.
//
// Lines are buffered and written by Run. When the reader of the log is too slow,
// lines are dropped, so that logging never blocks a request.
package journal
