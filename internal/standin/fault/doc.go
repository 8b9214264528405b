// Package fault provides the HTTP endpoint through which failures are injected
// into a stand-in.
//
// A stand-in defines its faults as a struct and serves it through an Endpoint:
//
//	var faults fault.Endpoint[Faults]
//	mux.Handle("/fault", &faults)
//	if faults.Get().Down { ... }
//
// POST /fault replaces the struct by the JSON in the body; {} clears all faults.
package fault
