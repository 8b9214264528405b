// Package confirmation records when the configuration in force was last known to be the
// newest one.
//
// A change must be in force within a bounded time on every instance whose own path to the
// key-value service works. Its watch, or the instance that it hears changes from, may be
// deaf without a sign of it, so it reads the changes itself once its confirmation is too
// old.
//
// A key that operators revoked must stop working within a bounded time on every
// instance, also on one that is partitioned, was suspended, or reads a stale copy. So
// an instance serves requests that need a key only if its configuration was confirmed a
// short time ago:
//
//	age, ok := record.Age(clock.Now())
//
// The instant of a confirmation is the start of the call that gave it, on a clock that
// includes suspended time. A Confirmer confirms by a call to the key-value service, or
// accepts the confirmation of another instance, which states how long before the
// query it was confirmed.
package confirmation
