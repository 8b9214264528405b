// Package storm generates random fault plans for soak tests.
//
//	for _, f := range storm.Plan(seed, 30*time.Second, 5, 6) { ... }
//
// A plan is a list of Fault values. Faults come in storms: two to four faults
// within some seconds, which may overlap and may affect the same instance twice.
// Calm is the pause after a storm, long enough to check that everything recovered.
// One seed gives the same plan each time, on any machine.
package storm
