// Package registry tells which instances there are, by keys under leases in
// the key-value service.
//
//	r := &registry.Registry{
//		Space: space,
//		Self:  self,
//		Timer: clock,
//	}
//	t.Go(func() error { return r.Run(t) })
//	for _, m := range r.Members() { ... }
//
// An instance that dies falls out of the view when its lease ends. One whose
// lease was revoked writes itself again. While the service is away the view
// stands still.
package registry
