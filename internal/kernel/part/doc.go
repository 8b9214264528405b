// Package part is the kernel: parts register themselves, and a Host starts
// them in order of their stage and stops them in reverse.
//
// A part's package registers a factory in its init function:
//
//	func init() {
//		part.Register(part.Factory{
//			Name:  "fleet.member",
//			Stage: part.StageFleet,
//			Make:  makePart,
//		})
//	}
//
// A factory publishes what others need with Put and takes what it needs with
// Get. Smaller families of plug-ins (routing policies, platform adapters) each
// keep a Registry of their own. The registries are the program's only package
// variables: an init function has nowhere else to write to.
package part
