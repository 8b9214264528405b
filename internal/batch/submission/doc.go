// Package submission holds the values of batches: what a trainer hands in, and
// the results that it reads.
//
//	sub := submission.Submission{
//		ID:    "7c41e09b52d6a3f8",
//		Model: "cutting-plan",
//		Items: items,
//	}
//	data, err := sub.Encode()
//
// A result has a fixed position in its batch once it was listed.
package submission
