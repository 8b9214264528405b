// Package confirmation knows when the configuration in force was last surely the
// newest one.
//
// A key that operators took away must stop working within a bound on every
// instance, also on one that is cut off, was paused, or reads an old copy. So an
// instance serves what needs a key only while its configuration was confirmed a
// short time ago:
//
//	age, ok := record.Age(clock.Now())
//
// The moment of a confirmation is the start of the call that gave it, on a clock
// that counts suspended time. It comes from a call of the key-value service, or
// from another instance that tells how long before the question it was confirmed.
package confirmation
