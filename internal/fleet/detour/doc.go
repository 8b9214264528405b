// Package detour reaches the key-value service through other instances when this
// one is turned away or cut off from it.
//
//	space := &detour.Space{
//		Direct: store,
//		Peers:  &detour.PeerCalls{Client: client},
//		Others: func() []string { return addresses },
//	}
//
// Calls go the direct way as long as it works. After a failure they go through
// another instance, and the direct way is tried again about once a second.
// Waiting watches on a way that has turned bad are cut, so that their owners
// list again: a cut connection gives no sign by itself.
//
// A call that fails on one way may have been done, and is sent on the other one
// all the same. Callers guard their transactions by revisions and read back what
// a conflict shows, so a second one does no harm.
package detour
