// Package engine simulates a model engine for tests and experiments.
//
// Server runs a fixed number of streams at the same time, queues further
// requests by priority, keeps a prefix cache of limited size, resumes streams,
// reports the weight version of every token and, with a delay, its load. It
// accepts orders to fetch and switch weights:
//
//	e := &engine.Server{Timer: timer.Real{}, Settings: engine.Settings{Slots: 8, TokenMS: 5}}
//	http.Serve(ln, e.Handler())
//
// Settings holds the properties of an engine, Faults the failures that can be
// injected at fault.Path.
//
// The text of each token contains the weight version that generated it, so that
// the versions recorded for a sample can be verified against its text; see
// VerifyText.
package engine
