// Package schedule decides how the items of a batch are run: which item begins first and
// at which engine, when a stream moves to another engine, and when results are written.
// It does no input or output, and callers pass the current times in.
//
// A batch of a trainer is one step of it. The items form groups, a group is whole when
// all of its items are finished, and the step ends when the trainer has read as many
// whole groups as it waits for. Engines stream the output of an item as events.
//
// Order, Load.Rank and Pick choose the next item and its engine, ShouldMove and MoveGain
// decide on moving a stream, and ShouldWrite, ShouldAnswerReads and
// PendingRead.AnswerEarly on writing results and answering reads. TakeWarm keeps the items
// of a group, which share a prompt, together, MemoryTarget lets items wait for memory, and
// TooLarge and RefusalDelay decide when an item that engines refused is offered again. StepEnd, Lengths and
// ScoringTime estimate when items and steps end.
//
//	at := schedule.Pick(engines, need)
//	if schedule.ShouldMove(progress, interval, hasFreeEngine) { ... }
//	if schedule.MoveGain(progress, interval, pace) > 0 { ... }
//	if schedule.ShouldWrite(pending) { ... }
//
// The package is designed for the following load. A step needs nearly all of its groups,
// so it lasts as long as its slowest items. A twelfth of the items takes most of the
// time that a step has even at the fastest engines; a third of the engines is of an
// older kind, and a slow or unreachable one holds a twelfth of all items. The trainer
// reads at most twice a second, and each read that is answered too soon costs it half a
// second at the end.
package schedule
