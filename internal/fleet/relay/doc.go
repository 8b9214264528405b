// Package relay lets few instances follow the key-value service and the others
// hear from them.
//
// Each watch that returns is a priced call, and so is each waiting one. When
// weights move, the list of upstreams changes many times a second; if all
// instances watched it, those calls would cost more than all others together,
// and grow with instances times upstreams.
//
//	space := &relay.Space{
//		Space:    direct,
//		Registry: registry,
//		Peers:    &relay.PeerCalls{Client: client},
//	}
//	copied := space.Copy("upstreams/")
//
// A mirror follows the space as it follows the service itself. On a watcher its
// watches and listings go to the service; elsewhere they go to a watcher, which
// answers from its own copy as long as it surely hears the service. When a
// watcher is silent, stale, behind what was heard already or gone, the next one
// is asked, and then the service.
package relay
