// Package admission decides when the requests of this instance are sent to the upstreams of
// a service, and refuses those that can't be served in time.
//
// A Gate is the decision code for one service. It has no I/O, locks or timers, so tests
// replay a load with any number of instances. A Service adds the lock and the waiting, and
// Gates holds the Service of each service:
//
//	svc := gates.Service("lookup", group.Set)
//	if err := svc.Acquire(ctx, admission.Request{Deadline: deadline}); err != nil {
//		return err // problem.Overloaded, with the time to retry after
//	}
//	result, timing := send()
//	svc.Release(admission.Interactive, result, timing, load)
//
// While upstreams refuse nothing and fewer requests are in flight than the service has
// slots, every request is admitted at once.
package admission
