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
// from its own Copy while its connection to the service works. When a watcher has
// lost the service, has left, or returns less than the follower has read already,
// the next watcher is asked. When one does not answer, the others are asked at the
// same time, and then the service, so that a change takes Relay.Bound at most to
// every follower whose own connection to the service works, however many watchers
// are lost.
package watchrelay
