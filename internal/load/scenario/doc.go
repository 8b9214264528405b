// Package scenario describes an experiment: a fleet, its load, and a schedule of
// faults. Scenario is the whole description, Variant one configuration to compare
// with others, and Event a fault or lifecycle action.
//
// A scenario is one JSON file. The same file and seed give the same arrivals,
// lengths and faults:
//
//	var s scenario.Scenario
//	err := setting.ReadFile("scenario.json", &s)
package scenario
