// Package addresses is the client side of instance discovery: it asks an instance
// which instances a caller should use and caches the answer.
//
// Book holds the cached addresses and hands them out in turn:
//
//	book := &addresses.Book{Caller: "saddlers", Seeds: seeds, Timer: timer.Real{}}
//	address, err := book.Pick(ctx)
//	...
//	book.Failed(address) // no answer: Pick returns other addresses
package addresses
