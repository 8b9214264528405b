// Package lease holds one lease of the key-value service and knows, at any
// moment, whether it may still act on it.
//
//	if number, ok := holder.Held(timer.Now()); ok {
//		order(number) // the fencing number
//	}
//
// A holder that was paused may wake up after its lease was given to another.
// Held therefore compares with a clock that counts pauses, from the moment
// before the lease was asked for, and gives up a margin early.
package lease
