// Package property runs property-based tests for other packages.
//
// Check verifies a property with a fixed seed, so that CI gives the same result
// each time. If the environment variable FUZZTIME is set to a duration, Check
// uses fresh seeds for that long. CheckFails expects a property to fail: it shows
// that the property detects the fault when the mechanism that prevents it is
// switched off.
//
//	property.Check(t, func(rt *rapid.T) { runHistory(rt, withFencing) })
//	property.CheckFails(t, func(rt *rapid.T) { runHistory(rt, withoutFencing) })
package property
