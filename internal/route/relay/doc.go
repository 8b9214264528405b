// Package relay sends a caller's request to a plain service and returns the complete
// answer.
//
//	answer, err := r.Do(ctx, relay.Call{Deployment: "order-desk", ...})
//
// A Relay gets the upstream of each attempt from a router.Router. A call that is not
// idempotent runs at most once: it is sent to another upstream only if the previous
// attempt can't have run, because no byte of it was sent or the upstream refused it. An
// answer is accepted only if it is complete and belongs to the current attempt.
package relay
