package session_test

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/egretbend/egretbend/internal/fleet/version"
	"github.com/egretbend/egretbend/internal/rollout/sample"
	"github.com/egretbend/egretbend/internal/rollout/session"
)

// read performs a read of the trainer. Its response arrives ("good", or "again"
// after a read whose response did not arrive), is lost, or arrives late.
func (w *simulation) read(maxEntries int, outcome string) {
	s := w.currentSession()
	if s == nil {
		return
	}
	bound := w.stalenessBound
	if w.disabled.skipWithdrawal && outcome == "again" {
		bound = func(string) session.StalenessBound {
			return session.StalenessBound{
				MaxVersions: 1 << 40,
			}
		}
	}
	batch, err := s.state.Read(w.cursor, maxEntries, bound, w.clock.Now())
	if err != nil {
		w.t.Fatalf("read %d: %v", w.cursor, err)
	}
	w.checkRedelivery(batch)
	r := response{
		batch:  batch,
		newest: w.newestVersion,
	}
	switch outcome {
	case "lost":
	case "late":
		w.lateResponses = append(w.lateResponses, r)
	default:
		w.acceptResponse(r)
	}
}

// checkRedelivery checks that a position that is delivered again has the same
// bytes or is withdrawn.
func (w *simulation) checkRedelivery(batch session.Batch) {
	for i, e := range batch.Entries {
		if e.Withdrawn != nil {
			continue
		}
		position := fmt.Sprint(batch.Session, "/", batch.From+uint64(i))
		if old, ok := w.deliveredBytes[position]; ok && !bytes.Equal(old, e.Sample) {
			w.t.Fatalf("position %s was delivered again with other bytes", position)
		}
		w.deliveredBytes[position] = e.Sample
	}
}

// deliverLateResponse delivers one of the late responses to the trainer.
func (w *simulation) deliverLateResponse(pick int) {
	if len(w.lateResponses) == 0 {
		return
	}
	i := pick % len(w.lateResponses)
	r := w.lateResponses[i]
	w.lateResponses = append(w.lateResponses[:i], w.lateResponses[i+1:]...)
	// The trainer gave this read up and does not wait for its response any
	// more, so it ignores it.
	if w.disabled.acceptLateResponses {
		w.acceptResponse(r)
	}
}

// acceptResponse is the test oracle. It checks that no sample is delivered twice
// and that none was too old when it was delivered.
func (w *simulation) acceptResponse(r response) {
	for _, e := range r.batch.Entries {
		if e.Withdrawn != nil {
			continue
		}
		var got struct {
			Key    sample.Key      `json:"key"`
			Oldest version.Version `json:"oldest"`
		}
		if err := json.Unmarshal(e.Sample, &got); err != nil {
			w.t.Fatalf("sample: %v", err)
		}
		if w.received[got.Key] {
			w.t.Fatalf("sample %v reached the trainer twice", got.Key)
		}
		if age := got.Oldest.Behind(r.newest); age > maxVersions {
			w.t.Fatalf("sample %v was %d versions old at its delivery", got.Key, age)
		}
		w.received[got.Key] = true
	}
	w.cursor = r.batch.Cursor
	if w.disabled.keepCursor {
		w.cursor = r.batch.From
	}
}
