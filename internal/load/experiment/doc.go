// Package experiment runs a load scenario against a fleet of local processes
// and reports the results that callers and trainers observed.
//
//	runner := &experiment.Runner{Scenario: s, BinaryDir: "bin", WorkDir: dir, Timer: timer.Real{}}
//	report, err := runner.Run(ctx)
//
// Runner starts the fleet and its load; Report holds the measurements.
// Report.Violations lists the violated guarantees: for example a sample delivered
// twice, an order that ran although it was reported as not run, or an answer
// that belongs to another request.
package experiment
