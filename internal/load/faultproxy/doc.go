// Package faultproxy is a loopback TCP proxy that injects network failures between
// two processes: delay, partitions of one or both directions, refused connections
// and resets.
//
//	p, err := faultproxy.Listen(target)
//	use(p.Address())
//	p.SetState(faultproxy.Slow)      // each chunk of bytes is delayed
//	p.SetState(faultproxy.Blackhole) // no bytes arrive, no connection is closed
//	p.SetState(faultproxy.Healthy)   // bytes pass without delay
//	p.ResetConnections()             // all open connections get a TCP reset
//
// Bytes that a blackhole state holds back are delivered when the proxy is healthy
// again, as after a real partition.
package faultproxy
