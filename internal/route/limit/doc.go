// Package limit decides which requests are let in, before any work is done.
//
// A Limiter keeps one gate for each deployment. The gate's limit adapts: it
// grows while requests are answered and shrinks when upstreams refuse or time
// out, so that the instances of a fleet share the upstreams without talking to
// each other. Lower priorities are let in only while there is room to spare,
// and callers above their fair share go first when room is short.
//
//	pass, err := limiter.Admit(ask)
//	if err != nil {
//		return err // problem.Overloaded, with when to come back
//	}
//	defer pass.Close(limit.Good)
package limit
