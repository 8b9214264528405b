// Package runner makes the samples of the sessions that trainers opened on
// this instance.
//
// For each open session it takes work from the session's state, runs it on
// engines, copies what is finished to another failure domain, and answers
// reads:
//
//	live, err := r.Open("saddle", 4)
//	err = r.Submit(ctx, "saddle", 4, spec)
//	batch, err := r.Read(ctx, "saddle", read)
package runner
