// Package peer carries calls between instances over net/rpc.
//
// Every call has a deadline. A call that misses it closes its connection: the
// peer may be frozen, and an answer that still comes must not be taken for the
// answer to a later question.
//
//	err := client.Call(ctx, "127.0.0.1:7201", "Gossip.Exchange", args, &reply)
//
// Server registers the receivers of other parts and counts the bytes of both
// directions, which are what the control traffic costs.
package peer
