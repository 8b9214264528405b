// Package watchrelay lets a few instances watch the key-value service and pass what
// they read on to all others.
//
// Every watch that returns is a billed call, and so is every watch that waits.
// While weights move, the list of upstreams changes many times a second; if all
// instances watched it, those calls would cost more than all others together,
// and their number would grow with instances times upstreams.
//
//	relay := &watchrelay.Relay{
//		TransactionalStore: direct,
//		Registry:           registry,
//		Peers:              &watchrelay.PeerClient{Client: client},
//	}
//	copied := relay.AddCopy("upstreams/")
//
// A Relay is used like the key-value service itself, for example by a
// mirror.Mirror. On some instances, the watchers, its watches and listings go to
// the service. On all others, the followers, they go to a watcher, which answers
// from its own Copy while its connection to the service works. When a watcher
// does not answer, has lost the service, has left, or returns less than the
// follower has read already, the next watcher is asked, and at last the service.
package watchrelay
