// Package addresses is the client side of instance discovery: it asks an instance
// which instances a caller should use and caches the answer.
//
// Cache holds the addresses and returns them in turn:
//
//	cache := &addresses.Cache{Caller: "saddlers", Seeds: seeds, Timer: timer.Real{}}
//	address, err := cache.Next(ctx)
//	...
//	cache.MarkFailed(address) // no answer: Next returns other addresses
package addresses
