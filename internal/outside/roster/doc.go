// Package roster defines the interface to the platform's list of instances and
// implements it over HTTP.
//
// The list lags behind: an instance may have left before the list shows it, and a
// listed instance may not be up yet. Callers must treat it as a hint.
//
//	list, err := source.List(ctx)
//	for _, in := range list {
//		if in.Leaving { ... }
//	}
package roster
