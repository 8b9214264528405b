// Package trainer simulates a reinforcement-learning trainer that uses the
// service over HTTP.
//
// A Trainer publishes weight versions, submits steps of groups, waits until all
// samples of a step have arrived, trains for a while and begins the next step.
// When the instance of its session fails, it opens a session with a higher number
// at another instance and submits its steps again with the samples that it
// already has. It verifies the recorded versions of each sample against the
// sample's text, and measures the share of time that it waits for samples:
//
//	t := &trainer.Trainer{Settings: settings, Addresses: cache, Timer: timer.Real{}}
//	result := t.Run(ctx)
//
// Settings holds the properties of a trainer, Result what it observed.
package trainer
