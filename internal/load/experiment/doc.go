// Package experiment runs a scenario and reports what callers and trainers
// saw.
//
//	x := &experiment.Experiment{Scenario: s, Binaries: "bin", Folder: dir}
//	report, err := x.Run(ctx)
//
// A report is wrong when something was lost, doubled or mixed up.
package experiment
