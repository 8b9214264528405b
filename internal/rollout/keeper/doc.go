// Package keeper holds copies of finished samples for sessions that run on
// other instances.
//
// A sample counts as finished only when an instance in another failure domain
// has a copy. When the session's instance dies, the trainer opens its next
// session elsewhere, and that one gathers the copies; only what is missing is
// made again.
//
//	reply := k.Keep(args)   // from the session's instance
//	reply := k.Gather(args) // from the next session's instance
//
// The session number fences: a keeper refuses copies of a session below the
// highest one that it has heard of.
package keeper
