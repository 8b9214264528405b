// Package faultplan generates random fault plans for soak tests.
//
//	for _, f := range faultplan.Generate(seed, 30*time.Second, 5, 6) { ... }
//
// A plan is a list of Fault values. Faults come in bursts of two to four within a
// few seconds; they may overlap and may affect the same instance twice.
// RecoveryTime is the pause after a burst, long enough to check that everything
// recovered. One seed gives the same plan each time, on any machine.
package faultplan
