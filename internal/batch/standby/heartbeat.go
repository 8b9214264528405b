package standby

import (
	"time"

	"github.com/egretbend/egretbend/internal/batch/ledger"
	"github.com/egretbend/egretbend/internal/batch/submission"
)

// Piece is what is new of one item.
type Piece struct {
	Item string
	// From is how many events the receiver has already; Events follow them.
	From   int
	Events []string
	// Versions are all that made the text so far.
	Versions []uint64
	// Failures is how many engines said that they failed it.
	Failures int
	// Result is the end of the item, nil until then. Without a text it has that of all
	// events.
	Result *submission.Result
}

// Delta is what is new of one batch.
type Delta struct {
	Batch string
	// Whole says that the pieces are all that there is, and not what is new only.
	Whole  bool
	Pieces []Piece
}

// Heartbeat tells a successor that its sender lives, and what is new of its batches.
type Heartbeat struct {
	Owner ledger.Owner
	// Lease is the owner's lease, 0 if it has none.
	Lease uint64
	// Open are the batches that the owner runs.
	Open []string
	// Every is how soon the next one comes; 0 says that none does, and that the owner
	// is not missed.
	Every time.Duration
	// Leaves says that it is the last one: the owner stops.
	Leaves bool
	Deltas []Delta
	// UnixMicro is the sender's time of day in microseconds since the start of 1970.
	UnixMicro int64
}

// Done is the mark of an item whose end the receiver has.
const Done = -1

// Marks say what a receiver has: the number of events of each item by batch.
type Marks map[string]map[string]int
