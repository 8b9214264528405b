// Package member maintains each instance's view of the live instances of the
// fleet, by gossip and failure detection.
//
// Each instance owns one gossip entry about itself. Other instances can only
// raise the status of the version that they have seen, to suspect or dead. The
// owner refutes this by publishing a higher sequence number, so an instance
// that was paused is back in every view soon after it learns that it was
// declared dead.
//
// Table holds the view and the failure detector of one instance, Exchanger
// runs the periodic exchanges with other instances, and Receiver answers the
// exchanges that they start:
//
//	view := table.View()
//	for _, m := range view.Alive { ... }
//	top := view.Top("step/17", 3)
//
// A View is immutable; every change produces a new one.
package member
