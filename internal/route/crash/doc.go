// Package crash detects whether an upstream crashed while it was running a request.
//
//	reporter := &crash.Reporter{
//		Secret: secret,
//		Timer:  clock,
//	}
//	reporter.ReportCutOff(crash.Cut{
//		RequestID:   "9c41d07be2a35f68",
//		Incarnation: crash.IncarnationOf(u.ID, u.Incarnation),
//		Address:     u.Address,
//		Digest:      digest,
//	})
//
// A connection that is cut off before an answer is no proof of a crash: the network path may be
// down, or the upstream may have closed an idle connection. A Reporter therefore dials the
// upstream, and takes it for crashed only if the port refuses the connection. It dials once
// for all requests that were cut off at an upstream.
package crash
