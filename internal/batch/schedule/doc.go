// Package schedule holds the decisions about the items of batches: which begins
// first, at which engine, when a stream moves to another one, and when results
// are written. It does no input or output and is given the time.
//
//	at := schedule.Pick(engines, need)
//	if schedule.Move(progress, usual, room) { ... }
//	if schedule.Gain(progress, usual, pace) > 0 { ... }
//	if schedule.Write(pending) { ... }
//
// The load it answers: a step needs nearly all of its groups, so it lasts as
// long as its slowest items. A twelfth of the items takes most of the time that
// a step has even at the fastest engines; a third of the engines is of an older
// kind, and a slow or dark one holds a twelfth of all items. The trainer reads
// twice a second at the most, and each read that is answered too soon costs it
// half a second at the end.
package schedule
