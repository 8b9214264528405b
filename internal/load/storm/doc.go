// Package storm draws plans of faults from a seed.
//
//	for _, f := range storm.Plan(seed, 30*time.Second, 5, 6) { ... }
//
// Faults come in storms: two to four of them within some seconds, which overlap
// and may meet the same instance twice. Between two storms it is calm for long
// enough to see whether everything came back. One seed gives the same plan each
// time, on any machine.
package storm
