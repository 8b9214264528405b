// Package orders sends requests to a fleet in an open loop.
//
// Arrivals follow a clock and a seed, not the answers, so a slow fleet shows
// in the latencies instead of slowing the load: each latency is counted from
// the moment the request was due.
//
//	load := &orders.Load{Settings: settings, Addresses: book, Timer: timer.Real{}}
//	result := load.Run(ctx)
package orders
