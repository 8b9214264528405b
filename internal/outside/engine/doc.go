// Package engine defines the interface to model engines and implements it for the
// completions protocol.
//
// Adapter is the interface that the rest of the program uses; implementations
// register themselves in Adapters. The stream of a generation is authoritative about
// weight versions: each token carries the version that generated it.
//
//	finish, err := adapter.Generate(ctx, address, request, func(t engine.Token) error {
//		return record.Add(t)
//	})
//
// Errors tell what is known about the run. ErrNotSent, ErrMisdirected and
// *RefusedError mean that the engine did not begin. ErrIncompleteResponse means that the
// request was sent, but no complete and valid response arrived, for example because
// the stream ended early; the engine may have run it.
package engine
