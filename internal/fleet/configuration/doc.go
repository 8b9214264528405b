// Package configuration stores and distributes the configuration that operators
// change at run time: deployments, priorities and limits.
//
// A Document, the Configuration with the history of its changes, is stored under
// one key in the platform's key-value service. An Editor changes it by
// compare-and-swap on the revision that the operator saw; the change is accepted
// if the swap succeeds:
//
//	doc, err := editor.Put(ctx, change, data)
//	// accepted: doc.Revision; otherwise problem.Conflict, .ChangeUnknown, ...
//
// The Holder of each instance keeps the document with the highest revision that
// the instance has seen and never returns to an older one. A Follower updates
// it: a few instances watch the key-value service, and the others learn of a new
// revision by gossip and fetch the document from a peer.
package configuration
