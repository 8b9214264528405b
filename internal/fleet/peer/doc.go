// Package peer carries calls between instances over net/rpc, with mutual TLS if
// a certificate is configured.
//
// Client calls methods of other instances. Every call has a deadline, set by its
// context. A call that misses it closes its connection: the peer may be paused,
// and a late reply must not be taken for the reply to a later call.
//
//	err := client.Call(ctx, "127.0.0.1:7201", "Gossip.Exchange", args, &reply)
//
// Server answers calls with the receivers that other parts register. Counter
// counts the bytes in both directions, which measure the control traffic.
package peer
