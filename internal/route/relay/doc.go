// Package relay carries a caller's request to a plain service and brings back
// the whole answer.
//
//	answer, err := relay.Do(ctx, relay.Call{Deployment: "order-desk", ...})
//
// A request that is not idempotent is sent to at most one upstream, ever: it
// is repeated only while no byte of the attempt before can have left. An
// answer counts only when it is whole and belongs to the attempt that asked.
package relay
