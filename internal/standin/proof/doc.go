// Package proof runs properties for the tests of other packages.
//
// Check holds a property with fixed seeds, so that CI gives the same verdict
// each time; with the environment variable FUZZTIME set it takes fresh seeds
// for that long. Refute expects a property to fail: a proof is worth something
// only if it fails once its mechanism is switched off.
//
//	proof.Check(t, func(rt *rapid.T) { world(rt, allOn) })
//	proof.Refute(t, func(rt *rapid.T) { world(rt, noFence) })
package proof
