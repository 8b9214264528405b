// Package stream runs a generation on model engines until it is complete.
//
// A Generator runs a Task. If a stream breaks, the Generator resumes it on
// another engine from the last token instead of starting again. Tokens are
// emitted in order and exactly once:
//
//	dispatch, err := gen.Admit(task) // admission
//	result, err := gen.Run(ctx, dispatch, task, func(t engine.Token) error { ... })
package stream
