// Package stream runs one generation on model engines until it is whole.
//
// A stream that breaks is resumed on another engine from its last token, not
// begun again. Tokens are emitted in order and once:
//
//	finish, err := gen.Run(ctx, task, func(t engine.Token) error { ... })
package stream
