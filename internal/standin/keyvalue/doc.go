// Package keyvalue simulates the platform's key-value service over HTTP.
//
// Server keeps items and leases in memory, and counts its calls, writes and
// waiting watches. Faults makes it refuse calls, delay them, lose the answers of
// writes that took effect, or answer reads with an older revision:
//
//	s := &keyvalue.Server{Timer: timer.Real{}}
//	s.Faults.Set(keyvalue.Faults{Down: true})
//	http.Serve(ln, s.Handler())
package keyvalue
