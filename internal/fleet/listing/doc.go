// Package listing spreads the platform's instance list through the fleet.
//
// A few instances in each failure domain read the list and tell what changed;
// the others hear it by gossip, also those that can't reach the list. Leaving
// marks are entries of their own: any source may set one, and it sticks to
// that incarnation of the upstream.
//
//	book := &listing.Book{State: state}
//	book.MarkLeaving("sampler-3", incarnation)
//	for _, in := range book.List() { ... }
package listing
