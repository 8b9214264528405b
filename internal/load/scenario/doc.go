// Package scenario describes an experiment: a fleet, its load, and the faults
// to bring about and when.
//
// A scenario is one JSON file. The same file and seed give the same arrivals,
// lengths and faults:
//
//	var s scenario.Scenario
//	err := setting.ReadFile("scenario.json", &s)
package scenario
