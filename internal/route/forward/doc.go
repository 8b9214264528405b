// Package forward sends callers' requests to the upstreams of their route and retries
// or hedges them when an upstream is slow, full or failing.
//
//	answer, err := forwarder.Do(ctx, forward.Request{
//		ID:    "9c41d07be2a35f68",
//		Route: route,
//		Body:  body,
//	})
//
// A Forwarder chooses the upstreams and sends each attempt through its Sender. If the
// first attempt of a repeatable request is late, a second one is started at another
// upstream (hedging), and the first complete answer is returned. A request that may
// not be repeated is sent to another upstream only if the one before guarantees that
// it did not run it. Every error is a *problem.Error; its outcome is problem.NotRun
// only if no attempt may have run.
package forward
