// Package keyvalue is a small stand-in for the platform's key-value service.
//
// It keeps items in memory, counts every call and waiting watch, and can be
// down, slow, lose answers of writes that took effect, or answer with an older
// revision:
//
//	s := &keyvalue.Server{Timer: timer.Real{}}
//	s.Faults.Set(keyvalue.Faults{Down: true})
//	http.Serve(ln, s.Handler())
package keyvalue
