// Package roster is a small stand-in for the platform's instance list.
//
// Upstream stand-ins announce themselves to it; it lists them with a lag:
//
//	s := &roster.Server{Timer: timer.Real{}}
//	http.Serve(ln, s.Handler())
//
// Its faults are to be down and to lag.
package roster
