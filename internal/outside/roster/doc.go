// Package roster defines the interface to the platform's instance list, which names the
// upstreams, and implements it over HTTP.
//
// The list lags behind: an upstream may have left before the list shows it, and a
// listed upstream may not be up yet. Callers must treat it as a hint.
//
//	list, err := source.List(ctx)
//	for _, instance := range list {
//		if instance.Leaving { ... }
//	}
package roster
