// Package identity identifies the organisation on whose behalf a request is made, or
// tells why the request is refused.
//
//	auth := &identity.Authenticator{
//		Config: config,
//		Record: record,
//		Bound:  5 * time.Second,
//		Timer:  clock,
//	}
//	org, err := auth.Identify(ctx, identity.Call{
//		RequestID: id,
//		Header:    r.Header,
//	})
//
// An Authenticator looks up the key of a request in the configuration in force. Operators
// may remove a key at any time, so an Authenticator accepts a key only if the
// configuration was confirmed to be the newest one within Bound. Decide states the rule.
//
// Call Identify after the whole request was read. An instance that was suspended finds
// requests in its sockets when it continues. If it checked their keys before it read
// them, it would accept keys that were removed in the meantime.
package identity
