// Package part manages the life cycle of an instance's components, called parts.
// Parts register themselves, and a Host starts them in order of their Stage and
// stops them in reverse order.
//
// A part's package registers a Factory in its init function:
//
//	func init() {
//		part.Register(part.Factory{
//			Name:  "fleet.member",
//			Stage: part.StageMember,
//			Make:  makePart,
//		})
//	}
//
// A factory publishes values for parts that are created later with Provide and obtains
// its own dependencies with MustGet. Other kinds of plug-ins, such as routing policies and
// platform adapters, each have a Registry of their own. The registries are the only
// package variables that hold state: an init function has nowhere else to write to.
package part
