// Package lease acquires and renews a lease of the key-value service, and reports
// whether this instance may still act as its holder.
//
//	if number, ok := holder.Held(timer.Now()); ok {
//		order(number) // the fencing number
//	}
//
// A holder that was paused may resume after another instance has acquired the
// lease. Held therefore uses a clock that counts the time of pauses, measures
// from the moment before the lease was requested, and treats the lease as expired
// a safety margin before it expires.
package lease
