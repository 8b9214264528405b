// Package runner generates the samples for the sessions that trainers opened on
// this instance.
//
// A trainer opens a session, submits steps, each of which asks for groups of
// samples, and reads the finished samples. For each open session, the Runner
// takes attempts from the session's state, runs them on engines, copies each
// finished sample to an instance in another failure domain, and answers reads:
//
//	err := r.Open("saddle", 4)
//	status, err := r.Submit(ctx, "saddle", 4, spec)
//	batch, err := r.Read(ctx, "saddle", args)
//
// When an instance dies, the trainer opens its next session on another one. The
// Runner there gathers the copies of finished samples, so that only missing
// samples are generated again.
package runner
