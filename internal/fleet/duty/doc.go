// Package duty elects the one instance, the holder of the duty, that makes the calls
// which only one instance may make at a time: orders to engines, usage reports and
// capacity orders.
//
//	holder := &duty.Holder{
//		Store:       store,
//		Presence:    registry,
//		Key:         registry.DutyKey(duty.Orders),
//		InstanceKey: registry.InstanceKey,
//		Name:        "gent-a-1",
//	}
//	fence, ok := holder.FencingToken()
//
// This is leader election over the key-value service: a key names the holder. The
// revision at which the holder wrote that key is its fencing token, so a later holder
// always has a higher token. A call is recorded before it is made, and the next holder
// finds unfinished calls in that record.
//
// # Order of calls
//
// A call with a lower fencing token never arrives after one with a higher token, and holders don't
// take turns within three seconds: an instance whose calls were followed by those of another
// holder makes none until three seconds after its last one. Each call is made in the context of
// BeginCall:
//
//   - The permission P of a holder ends maxLeaseAge (1.2 s) after the request of its last
//     successful renewal. Nobody finds its key missing before that renewal, so that
//     P <= T + 1.2 s, where T is the time at which the next holder finds it missing. If T is not
//     known, the time after the next holder's acquisition takes its place.
//   - The deadline of a call is at most P, whatever its own timeout: 0.6 s for orders to
//     engines, 0.9 s for capacity orders and usage reports. A call is begun, and its first byte
//     written, only if at least minCallTime (0.2 s) is left.
//   - At the deadline the connection is reset, also while it is being written: the kernel drops
//     what was not delivered, and what is under way arrives within networkDelay (0.2 s). If the
//     instance is paused and can't reset it, TCP_USER_TIMEOUT does so DeliveryTimeout (0.5 s)
//     after the bytes were written. So the last call arrives before
//     max(P + 0.2 s, P - 0.2 s + 0.5 s + 0.2 s) = P + 0.5 s <= T + 1.7 s.
//   - The next holder makes its first call at T + HandoverWait (1.7 s), and at least returnWait
//     (3 s) after its own last one. As an earlier process of the same instance may have made
//     calls, it counts from the start of the process if it has made none.
//
// The token of one holder also changes, with its lease and at the end of its wait. Calls under
// the new token wait until those under the earlier one have ended and networkDelay has passed.
// Connections are reset as well when their process ends, so that a holder that restarts can
// continue at once.
package duty
