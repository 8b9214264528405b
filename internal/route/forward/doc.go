// Package forward sends callers' requests to the upstreams of their route and
// decides what to do when one is slow, full or broken.
//
//	answer, err := forwarder.Do(ctx, forward.Request{
//		ID:    "9c41d07be2a35f68",
//		Route: route,
//		Body:  body,
//	})
//
// A request that may be repeated gets a second attempt at another upstream as
// soon as its first one is late, and its first whole answer wins. One that may
// not be repeated is sent on only when the upstream before vouches that it did
// not run it. An error is a *problem.Error; it says "not run" only if no
// attempt may have run.
package forward
