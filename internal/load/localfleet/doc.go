// Package localfleet runs the processes of an experiment on this machine: stand-ins
// of the platform services and upstreams, and the instances. It injects the
// faults of a scenario and stops every process it started.
//
//	f := &localfleet.Fleet{BinaryDir: "bin", WorkDir: dir, Scenario: s, Timer: timer.Real{}}
//	err := f.Start(ctx)
//	defer f.Stop()
//
// Fleet holds all processes of an experiment, Process one of them. Only load
// tests use this package; the service itself starts no processes.
package localfleet
