// Package router decides for each request whether it is admitted and which
// upstream runs it. It combines the quarantine check, admission control (package
// limit), a routing policy (package policy) and the retry budget (package retry).
//
// A Router admits a Request and returns a Dispatch, which chooses the upstream of each
// attempt:
//
//	dispatch, err := r.Admit(req) // admitted, or refused at once
//	if err != nil {
//		return err
//	}
//	u, err := dispatch.NextUpstream() // an upstream that was not tried yet
//	...
//	dispatch.Close(limit.Succeeded)
//
// Each choice writes one log line with the chosen upstream, the number of
// candidates and the reason.
package router
