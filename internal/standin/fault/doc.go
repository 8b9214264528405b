// Package fault is the one door of each stand-in that brings about failures.
//
// A stand-in keeps its faults in a struct and serves it:
//
//	var door fault.Door[Faults]
//	mux.Handle("/fault", &door)
//	if door.Get().Down { ... }
//
// POST /fault replaces the struct by the JSON in the body; {} ends all faults.
package fault
