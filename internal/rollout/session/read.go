package session

import (
	"encoding/json"
	"slices"

	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/rollout/sample"
)

// Entry is one position of a batch: a sample, or the key of a sample that was
// withdrawn because it became too old. A withdrawn sample is generated again and
// delivered at a later position, unless its step was dropped.
type Entry struct {
	Sample    json.RawMessage `json:"sample,omitempty"`
	Withdrawn *sample.Key     `json:"withdrawn,omitempty"`
}

// Batch is the response to a read.
type Batch struct {
	Session uint64 `json:"session"`
	// From is the cursor of this read, Cursor the one for the next read.
	From    uint64  `json:"from"`
	Cursor  uint64  `json:"cursor"`
	Entries []Entry `json:"entries"`
	// Steps is the status of all steps that the session knows.
	Steps []Status `json:"steps"`
}

// Read returns the batch at cursor, with at most maxEntries entries if it is a
// new one. Passing the Cursor of the last batch acknowledges that batch and
// starts the next one. Passing its From repeats it: each sample in it is then
// the same, byte for byte, or is withdrawn if it has become too old. For any
// other cursor, Read returns problem.CursorUnknown.
func (s *Session) Read(cursor uint64, maxEntries int, bound func(deployment string) StalenessBound, now timer.Instant) (Batch, error) {
	switch cursor {
	case s.batchStart + uint64(len(s.batch)):
		s.acknowledgeBatch()
		s.fillBatch(maxEntries, bound, now)
	case s.batchStart:
		s.withdrawStale(bound, now)
	default:
		return Batch{}, problem.CursorUnknown.Withf("cursor %d is neither %d, which repeats the last batch, nor %d, which acknowledges it", cursor, s.batchStart, s.batchStart+uint64(len(s.batch)))
	}
	return s.currentBatch(), nil
}

// currentBatch returns the batch that the trainer has not acknowledged yet.
func (s *Session) currentBatch() Batch {
	b := Batch{
		Session: s.Number,
		From:    s.batchStart,
		Cursor:  s.batchStart + uint64(len(s.batch)),
		Entries: make([]Entry, 0, len(s.batch)),
		Steps:   s.Steps(),
	}
	for _, it := range s.batch {
		b.Entries = append(b.Entries, it.entry())
	}
	return b
}

// entry returns the item's sample, or its key if the sample was withdrawn.
func (it *item) entry() Entry {
	if it.state != delivered {
		key := it.key
		return Entry{
			Withdrawn: &key,
		}
	}
	return Entry{
		Sample: it.result.Raw,
	}
}

// acknowledgeBatch marks the samples of the last batch as acknowledged and
// starts an empty batch after it.
func (s *Session) acknowledgeBatch() {
	s.batchStart += uint64(len(s.batch))
	for _, it := range s.batch {
		if it.state == delivered {
			it.step.acknowledge(it)
		}
	}
	s.batch = nil
}

// fillBatch adds ready samples to the batch. Samples that are too old are
// discarded.
func (s *Session) fillBatch(maxEntries int, bound func(string) StalenessBound, now timer.Instant) {
	var stillReady []*item
	for _, it := range s.ready {
		switch {
		case it.state != ready:
		case bound(it.step.spec.Deployment).TooOld(it.result, now):
			it.discard()
		case len(s.batch) < maxEntries:
			it.state = delivered
			s.batch = append(s.batch, it)
			if s.OnDeliver != nil {
				s.OnDeliver(it.step.spec.Deployment, it.result)
			}
		default:
			stillReady = append(stillReady, it)
		}
	}
	s.ready = stillReady
}

// withdrawStale withdraws samples from a batch that is read again. The trainer
// repeats a read because it did not get the response. A sample that was young
// enough for the first response but has become too old since must not be
// delivered now.
func (s *Session) withdrawStale(bound func(string) StalenessBound, now timer.Instant) {
	for i, it := range s.batch {
		if it.state != delivered || !bound(it.step.spec.Deployment).TooOld(it.result, now) {
			continue
		}
		// The position keeps a copy of the item in a state that is never
		// delivered. The item itself is generated again and gets a new position.
		placeholder := *it
		placeholder.state = abandoned
		s.batch[i] = &placeholder
		it.discard()
	}
}

// discard drops the result of a finished item and makes it pending, so that it
// is generated again, unless its step was dropped.
func (it *item) discard() {
	it.step.status.Discarded++
	it.result = FinishedSample{}
	it.state = pending
	if !it.step.open() {
		it.state = abandoned
	}
}

// NothingReady reports whether no sample is ready for delivery.
func (s *Session) NothingReady() bool { return !slices.ContainsFunc(s.ready, isReady) }

func isReady(it *item) bool { return it.state == ready }
