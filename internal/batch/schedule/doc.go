// Package schedule holds the decisions about the items of batches: which begins
// first, at which engine, when a stream moves to another one, and when results
// are written. It does no input or output and is given the time.
//
//	at := schedule.Pick(engines, need)
//	if schedule.Move(progress, usual, room) { ... }
//
// The load it answers: a step needs nearly all of its groups, so it lasts as
// long as its slowest items. Long items alone take most of the time that a
// step has, and a slow or dark engine holds a twelfth of all items.
package schedule
