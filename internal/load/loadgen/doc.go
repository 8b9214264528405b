// Package loadgen is an open-loop load generator: it sends orders to plain
// services and completions to models.
//
// Arrival times depend on the clock and a seed, not on the answers, so a slow
// fleet doesn't reduce the load. Each latency is measured from the time at which
// the request was due, so it includes any delay in sending it.
//
// Settings describes a stream of requests, Generator sends it, and Result holds
// what the callers observed. Generator.CompareRuns compares the outcomes with the
// runs that the services recorded.
//
//	g := &loadgen.Generator{Settings: settings, Addresses: cache, Timer: timer.Real{}}
//	result := g.Run(ctx)
package loadgen
