// Package listing distributes the platform's instance list to all instances of the
// fleet.
//
// A few instances in each failure domain read the list and publish its changes; the
// others receive them by gossip, even if they cannot reach the list. Leaving marks are
// separate gossip entries: any source may set one, and it stays for that incarnation of
// the upstream.
//
//	table := &listing.Table{State: state}
//	table.MarkLeaving("sampler-3", incarnation)
//	for _, in := range table.List() { ... }
package listing
