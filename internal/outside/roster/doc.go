// Package roster is the program's view of the platform's instance list.
//
// The list lags: an instance may have left before the list says so, and one
// that it names may not be up yet. Whoever uses it treats it as a hint.
//
//	list, err := source.List(ctx)
//	for _, in := range list {
//		if in.Leaving { ... }
//	}
package roster
