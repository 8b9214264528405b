// Package kvfallback sends calls of the key-value service through other instances
// while the service rejects the calls of this instance or cannot be reached by it.
//
//	fallback := &kvfallback.Store{
//		Direct:        store,
//		Peers:         &kvfallback.PeerClient{Client: client},
//		PeerAddresses: func() []string { return addresses },
//	}
//
// Calls use the direct path while it works. After a failure they go through
// another instance, and the direct path is tried first again about once a second.
// When the direct path fails, the watches that wait on it are cancelled, so that their
// callers list again: a watch on a broken connection may never return an error.
//
// A call that fails on one path may have taken effect, and is still repeated on the
// other one. Callers make their transactions conditional on revisions and read the
// items of a conflict, so a repetition does no harm.
package kvfallback
