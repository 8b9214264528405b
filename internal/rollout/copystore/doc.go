// Package copystore stores copies of finished samples for sessions that run on other
// instances.
//
// Before a session's instance delivers a finished sample, it copies the sample to
// the Store of an instance in another failure domain, if one is reachable. When the
// session's instance dies, the trainer opens its next session on another
// instance, which gathers the copies, so that only missing samples are generated
// again:
//
//	err := s.Keep(keepArgs, &keepReply)       // called by the session's instance
//	err := s.Gather(gatherArgs, &gatherReply) // called by the next session's instance
//
// The session number is a fencing token: a Store refuses calls for a session with
// a lower number than the highest that it has seen of the trainer.
package copystore
