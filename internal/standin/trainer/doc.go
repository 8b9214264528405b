// Package trainer is a small stand-in for a trainer.
//
// It publishes weight versions, submits steps of groups, waits until a step is
// whole, trains for a while and begins the next one. When its session's
// instance dies, it opens a session with a higher number at another one and
// names the samples that it has. It checks each sample against the truth in
// its text, and measures how long it stood idle:
//
//	t := &trainer.Trainer{Settings: settings, Addresses: book, Timer: timer.Real{}}
//	result := t.Run(ctx)
package trainer
