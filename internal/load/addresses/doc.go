// Package addresses keeps a caller's answer about which instances to use.
//
//	book := &addresses.Book{Caller: "saddlers", Seeds: seeds, Timer: timer.Real{}}
//	address, err := book.Pick(ctx)
//	...
//	book.Failed(address) // did not answer: use another one
package addresses
