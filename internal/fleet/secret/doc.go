// Package secret shares one random secret among all instances of a fleet.
//
//	stored := &secret.StoredSecret{
//		Store: store,
//		Key:   registry.BroadcastKey("secret"),
//	}
//	value, err := stored.Get(ctx)
//
// The first instance that needs the secret creates it. A StoredSecret stores it only in
// the key-value service, which decides which instance was first. A GossipSecret shares it
// between instances directly. The secret is never logged.
package secret
