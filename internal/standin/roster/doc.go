// Package roster simulates the platform's instance list over HTTP.
//
// Each simulated upstream announces itself to Server by an Announcer. Server
// lists the upstreams that it heard of lately:
//
//	s := &roster.Server{Timer: timer.Real{}}
//	http.Serve(ln, s.Handler())
//
// Faults makes it refuse reads or answer with an older list.
package roster
