// Package link is a loopback TCP proxy that brings about the failures of a
// network between two processes.
//
//	l, err := link.Open(target)
//	use(l.Address())
//	l.Set(link.Slow)    // everything takes longer
//	l.Set(link.Silent)  // nothing arrives, nothing is closed
//	l.Set(link.Whole)   // and well again
//	l.Reset()           // all open connections break at once
//
// Bytes that a silent link holds back are delivered when it is whole again, as
// those of a partition are.
package link
