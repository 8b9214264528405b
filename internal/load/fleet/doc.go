// Package fleet starts the processes of an experiment on this machine, brings
// about faults, and stops what it started.
//
//	f := &fleet.Fleet{Binaries: "bin", Folder: dir, Scenario: s}
//	err := f.Start(ctx)
//	defer f.Stop()
//
// It is the load tool's; the product itself starts no process.
package fleet
