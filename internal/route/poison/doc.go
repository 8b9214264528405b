// Package poison detects poison requests, which crash the upstreams that run them, and
// quarantines them.
//
//	var tracker poison.Tracker
//	tracker.Add(poison.Crash{
//		Incarnation: "desk-4/1774870592702",
//		Fingerprint: fp,
//		At:          now,
//		Consecutive: 1,
//	})
//	if v := tracker.Judge(fp, now); v.Quarantined() {
//		return problem.Quarantined.Withf("%s", v).WithRetryAfter(v.RetryAfter)
//	}
//
// A crash fails every request that the upstream was running, so being in flight during a
// crash does not by itself make a request a poison request. Tracker distributes the blame
// for each crash among the requests in flight, in proportion to their blame for all crashes,
// and clears a request that completes on any upstream. After several crashes a request is
// still served, but no longer retried or hedged on further upstreams, until it is cleared or
// quarantined. Tracker.Judge returns the Verdict on a request.
//
// Tracker does no I/O and is not safe for concurrent use.
package poison
