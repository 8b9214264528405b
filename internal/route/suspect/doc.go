// Package suspect decides which request crashes the upstreams that run it.
//
//	var e suspect.Evidence
//	e.Add(suspect.Crash{
//		Incarnation:  "desk-4/1774870592702",
//		Print: print,
//		At:    now,
//	})
//	if v := e.Judge(print, now); v.Refused() {
//		return problem.Quarantined.Withf("%s", v).WithRetryAfter(v.RetryAfter)
//	}
//
// An upstream that ends takes all its requests along, so that a request is not guilty
// for having been there. The blame for each end is divided among the requests that were
// at it, by how much each is to blame for other ends; what runs to its end anywhere is
// cleared. Until its guilt is known a request is served, but no longer sent to several
// upstreams one after the other.
//
// Evidence does no I/O. Its owner guards it.
package suspect
