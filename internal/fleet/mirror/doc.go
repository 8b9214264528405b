// Package mirror keeps a copy of a prefix of the key-value service.
//
//	m := &mirror.Mirror{
//		Space:  space,
//		Prefix: "upstreams/",
//		Take:   func(changes []keyvalue.Change) { ... },
//	}
//	t.Go(func() error { return m.Run(t) })
//
// Take hears the whole listing first, as changes, and then each change once
// and in order. When the history was lost, the mirror lists again and works
// out what was removed meanwhile. A copy never goes back: changes at or below
// the revision of a key are dropped.
package mirror
