// Package descriptor divides the file descriptors of a process among its connections.
//
//	b := descriptor.New(descriptor.Available(configured))
//	if !b.Take(descriptor.Callers) { ... } // don't accept the connection
//	defer b.Return(descriptor.Callers)
//
// Each use has a part that the others can't take, so that a press of callers leaves the instance its
// connections to upstreams and other instances. The rest is shared.
package descriptor
