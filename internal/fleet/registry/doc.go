// Package registry tracks the live instances of the fleet by keys under leases
// in the key-value service.
//
// Registry writes the entry of this instance, renews its lease, and follows the
// entries of the other instances:
//
//	r := &registry.Registry{
//		Store: store,
//		Timer: clock,
//	}
//	r.SetSelf(self)
//	t.Go(func() error { return r.Run(t) })
//	for _, m := range r.Members() { ... }
//
// An instance that dies leaves the view when its lease expires. An instance whose
// lease was revoked writes its entry again. While the service is unreachable the
// view does not change.
package registry
