// Package engine is a small stand-in for a model engine.
//
// It batches a fixed number of streams, keeps a prefix cache of limited size,
// honours priorities, resumes streams, names the weight version of every
// token, reports its load late, and takes orders to fetch and switch weights:
//
//	e := &engine.Server{Timer: timer.Real{}, Settings: engine.Settings{Slots: 8, TokenMS: 5}}
//	http.Serve(ln, e.Handler())
//
// Each token's text carries the version that made it, so that a reader can
// check a record against the text itself; see Truth.
package engine
