// Package submission has the data types of batches: Submission and its Items are what a
// trainer submits, Result is what it reads for each item, and Progress is the output so
// far of an unfinished item.
//
//	sub := submission.Submission{
//		ID:    "7c41e09b52d6a3f8",
//		Model: "cutting-plan",
//		Items: items,
//	}
//	data, err := sub.Encode()
//
// The position of a result in its batch is fixed once the result was listed.
package submission
