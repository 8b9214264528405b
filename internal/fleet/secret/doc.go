// Package secret shares one random secret among all instances of a fleet.
//
//	keeper := &secret.Keeper{
//		Space: space,
//		Key:   registry.BoardKey("secret"),
//	}
//	value, err := keeper.Get(ctx)
//
// The first instance that needs the secret creates it. A Keeper stores it only in the
// key-value service, which decides which instance was first. A Gossip shares it between
// instances directly. The secret is never logged.
package secret
