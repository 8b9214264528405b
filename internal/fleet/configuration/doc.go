// Package configuration holds what operators decide: deployments, priorities
// and tolerances.
//
// One object in the platform's key-value service holds the Document. A change
// is accepted when its compare-and-swap on the revision that the operator saw
// succeeded:
//
//	doc, err := editor.Put(ctx, change)
//	// accepted: doc.Revision; otherwise problem.Conflict, .ChangeUnknown, ...
//
// Each instance keeps the document with the highest revision that it ever saw
// in a Holder, and never goes back. Few instances ask the key-value service;
// the others hear of a revision by gossip and fetch the document from a peer.
package configuration
