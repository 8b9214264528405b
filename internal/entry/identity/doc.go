// Package identity decides on whose behalf a request is made, or why it is refused.
//
//	gate := &identity.Gate{
//		Config: config,
//		Record: record,
//		Bound:  5 * time.Second,
//		Timer:  clock,
//	}
//	org, err := gate.Identify(ctx, identity.Call{
//		RequestID: id,
//		Header:    r.Header,
//	})
//
// It is asked after the whole request was read. An instance that was suspended finds
// requests in its sockets; checked before they were read, keys that were taken away
// meanwhile would still hold.
package identity
