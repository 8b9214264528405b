// Package crash finds out whether an upstream ended while it ran a request.
//
//	reporter := &crash.Reporter{
//		Secret: secret,
//		Timer:  clock,
//	}
//	reporter.Cut(crash.Cut{
//		RequestID: "9c41d07be2a35f68",
//		Incarnation:      crash.IncarnationOf(u),
//		Address:   u.Address,
//		Sum:       sum,
//	})
//
// A connection that is cut before an answer says little: its path may be cut, or the
// upstream may close what was idle. Only an upstream whose port is closed has ended. It
// is asked once, whatever the number of requests that were cut there.
package crash
