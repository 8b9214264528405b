package session

import (
	"encoding/json"
	"slices"

	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/rollout/sample"
)

// Entry is one position of a batch: a sample, or the word that the sample at
// this position was withdrawn as too old and will come again later.
type Entry struct {
	Sample    json.RawMessage `json:"sample,omitempty"`
	Withdrawn *sample.Key     `json:"withdrawn,omitempty"`
}

// Batch is the answer to a read.
type Batch struct {
	Session uint64 `json:"session"`
	// From is the cursor of the read, Cursor the one for the next read.
	From    uint64   `json:"from"`
	Cursor  uint64   `json:"cursor"`
	Entries []Entry  `json:"entries"`
	Steps   []Status `json:"steps"`
}

// Read returns the batch at cursor. The cursor that the last batch ended with
// acknowledges that batch and begins the next one. The cursor that it began
// with asks for it again: a sample in it is then the same, byte for byte, or
// is withdrawn if it has become too old. Any other cursor is refused with
// problem.CursorUnknown.
func (s *Session) Read(cursor uint64, most int, bound func(deployment string) Bound, now timer.Instant) (Batch, error) {
	switch cursor {
	case s.start + uint64(len(s.batch)):
		s.acknowledge()
		s.fill(most, bound, now)
	case s.start:
		s.withdraw(bound, now)
	default:
		return Batch{}, problem.CursorUnknown.Withf("cursor %d is neither %d nor %d", cursor, s.start, s.start+uint64(len(s.batch)))
	}
	return s.answer(), nil
}

func (s *Session) answer() Batch {
	b := Batch{
		Session: s.Number,
		From:    s.start,
		Cursor:  s.start + uint64(len(s.batch)),
		Entries: make([]Entry, 0, len(s.batch)),
		Steps:   s.Steps(),
	}
	for _, it := range s.batch {
		b.Entries = append(b.Entries, it.entry())
	}
	return b
}

func (it *item) entry() Entry {
	if it.state != handed {
		key := it.key
		return Entry{
			Withdrawn: &key,
		}
	}
	return Entry{
		Sample: it.finished.Raw,
	}
}

func (s *Session) acknowledge() {
	s.start += uint64(len(s.batch))
	for _, it := range s.batch {
		if it.state == handed {
			it.step.take(it)
		}
	}
	s.batch = nil
}

// fill makes the next batch of samples that are young enough. Those that are
// not are made again.
func (s *Session) fill(most int, bound func(string) Bound, now timer.Instant) {
	var kept []*item
	for _, it := range s.ready {
		switch {
		case it.state != ready:
		case bound(it.step.spec.Deployment).TooOld(it.finished, now):
			it.discard()
		case len(s.batch) < most:
			it.state = handed
			s.batch = append(s.batch, it)
			if s.Handed != nil {
				s.Handed(it.step.spec.Deployment, it.finished)
			}
		default:
			kept = append(kept, it)
		}
	}
	s.ready = kept
}

// withdraw takes samples out of a batch that is asked for again. The trainer
// asks because it has no answer; a sample that has become too old since must
// not be handed over now, though it was young enough before.
func (s *Session) withdraw(bound func(string) Bound, now timer.Instant) {
	for i, it := range s.batch {
		if it.state != handed || !bound(it.step.spec.Deployment).TooOld(it.finished, now) {
			continue
		}
		// The position keeps a copy of the item in a state that is never
		// handed over; the item itself is made again and gets a new position.
		gone := *it
		gone.state = abandoned
		s.batch[i] = &gone
		it.discard()
	}
}

// discard throws a finished sample away and has it made again, unless its step
// was dropped.
func (it *item) discard() {
	it.step.status.Discarded++
	it.finished = Kept{}
	it.state = pending
	if !it.step.open() {
		it.state = abandoned
	}
}

// Idle reports whether nothing is ready to be read.
func (s *Session) Idle() bool { return !slices.ContainsFunc(s.ready, isReady) }

func isReady(it *item) bool { return it.state == ready }
