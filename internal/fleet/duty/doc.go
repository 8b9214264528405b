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
package duty
