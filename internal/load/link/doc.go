// Package link is a loopback TCP proxy that injects network failures between two
// processes: delay, partitions of one or both directions, refused connections
// and resets.
//
//	l, err := link.Open(target)
//	use(l.Address())
//	l.Set(link.Slow)    // each chunk of bytes is delayed
//	l.Set(link.Silent)  // no bytes arrive, no connection is closed
//	l.Set(link.Whole)   // bytes pass without delay
//	l.Reset()           // all open connections get a TCP reset
//
// Bytes that a silent link holds back are delivered when it is whole again, as
// after a real partition.
package link
