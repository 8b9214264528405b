// Package duty chooses the one instance that makes the calls which only one may make at
// a time: orders to engines, reports of usage, orders of capacity.
//
//	holder := &duty.Holder{
//		Space:    store,
//		Presence: registry,
//		Key:      registry.DutyKey(duty.Name),
//		Sign:     registry.Key,
//		Name:     "gent-a-1",
//	}
//	fence, ok := holder.Fence()
//
// The holder of a key in the key-value service has the right; the revision at which it
// took the key is its fencing token, which therefore only grows. What it did not finish
// is found by the next one in a record that was written before the call.
package duty
