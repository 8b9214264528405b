// Package member keeps the view of the live instances of the fleet.
//
// Each instance owns one gossip entry about itself. Others may only add a
// suspicion to the version that they saw; the owner answers a suspicion by a
// higher sequence number. So an instance that was frozen and thaws is back in
// every view as soon as it hears that it was given up.
//
//	view := table.View()
//	for _, m := range view.Alive { ... }
//	top := view.Top("step/17", 3)
//
// A View is immutable and is replaced as a whole.
package member
