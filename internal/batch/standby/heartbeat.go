package standby

import (
	"time"

	"github.com/egretbend/egretbend/internal/batch/ledger"
	"github.com/egretbend/egretbend/internal/batch/submission"
)

// ItemDelta holds the changes of one item.
type ItemDelta struct {
	Item string
	// Text identifies the text among all that its owner has generated: an item that is started
	// again has another one. It is 0 from owners of earlier releases.
	Text uint64
	// From is how many events of this text the receiver has already; Events follow them.
	From   int
	Events []string
	// Versions are the weight versions that have generated the text so far.
	Versions []uint64
	// Failures is how many engines reported that the item failed.
	Failures int
	// Result is the result of the item, nil until it has ended. If its text is empty, the
	// receiver joins the text from the events.
	Result *submission.Result
}

// BatchDelta holds the changes of one batch.
type BatchDelta struct {
	Batch string
	// Whole means that the pieces hold the whole batch, not only changes.
	Whole  bool
	Pieces []ItemDelta
	// Binding determines the regions of the batch. It is set if Whole is.
	Binding submission.Binding
}

// Heartbeat tells a successor that its sender is alive, and the changes of its batches.
type Heartbeat struct {
	Owner ledger.Owner
	// Lease is the number of the owner's lease, 0 if it has none.
	Lease uint64
	// Open are the batches that the owner runs.
	Open []string
	// Every is the time until the next heartbeat; 0 means that none follows and the owner
	// is not watched any longer.
	Every time.Duration
	// Leaves means that the owner stops and that this is its last heartbeat.
	Leaves bool
	Deltas []BatchDelta
	// UnixMicro is the sender's time of day, in microseconds since the start of 1970.
	UnixMicro int64
	// SuccessorRank is the position of the receiver, from 1, if it is a successor only for
	// batches that are restricted to regions; 0 otherwise.
	SuccessorRank int
}

// Mark is what a receiver has of an item. Its zero value is nothing.
type Mark struct {
	// Text is the text, as in ItemDelta.
	Text uint64
	// Events is how many events of the text the receiver has.
	Events int
	// Result says that the receiver has the result.
	Result bool
}

// Of returns the mark if it is of the given text, and otherwise the zero mark: events of one text
// say nothing about another one.
func (m Mark) Of(text uint64) Mark {
	if m.Text != text {
		return Mark{}
	}
	return m
}

// Marks is what a receiver has, by batch and item.
type Marks map[string]map[string]Mark
