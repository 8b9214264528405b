// Package secret keeps a random key that all instances of a fleet share.
//
//	keeper := &secret.Keeper{
//		Space: space,
//		Key:   registry.BoardKey("secret"),
//	}
//	key, err := keeper.Get(ctx)
//
// Whoever needs it first makes it; the key-value service decides who was first. It
// lies in that service only and is never logged.
package secret
