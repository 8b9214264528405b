// Package engine is the program's view of a model engine.
//
// Adapter is the small interface that parts use; adapters register themselves
// in Adapters. What an engine says in a stream is the truth about that stream:
// each token names the weight version that made it.
//
//	finish, err := adapter.Generate(ctx, address, request, func(t engine.Token) error {
//		return record.Add(t)
//	})
//
// Errors say what is known of the run: ErrNotSent and ErrRefused mean that the
// engine did not begin; ErrBroken means that the stream ended early.
package engine
