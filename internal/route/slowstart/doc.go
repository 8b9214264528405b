// Package slowstart bounds the requests that the whole fleet sends to an upstream that has just
// started.
//
// Terms say how many instances may send to one cold upstream, and how often each may. An instance
// that holds one of these shares takes a permit for each request:
//
//	permit, ok := limiter.Take(u, requestID, now)
//	if !ok {
//		// Another upstream must be chosen.
//	}
//	ctx = permit.Guard(ctx) // the request is withdrawn if the permit is too old when it is written
//
// Claims obtain shares in the key-value service. A share belongs to one incarnation of an upstream
// and is never transferred, so its holder needs nobody's confirmation while it uses it. A Prober
// asks upstreams whose connection was lost whether they are cold.
package slowstart
