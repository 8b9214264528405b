package standby

import (
	"bytes"
	"encoding/gob"
	"testing"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/batch/submission"
)

// earlierDelta is ItemDelta as releases without identified texts have it.
type earlierDelta struct {
	Item     string
	From     int
	Events   []string
	Versions []uint64
	Failures int
	Result   *submission.Result
}

// recode sends in over the wire to a release that has it as out.
func recode(is *is.I, in, out any) {
	var wire bytes.Buffer
	is.NoErr(gob.NewEncoder(&wire).Encode(in))
	is.NoErr(gob.NewDecoder(&wire).Decode(out))
}

// Guards against copies that are lost or wrong while instances of two releases run side by side.
func TestDeltasOfBothReleasesAreRead(t *testing.T) {
	is := is.New(t)
	var c Copies
	for _, d := range []earlierDelta{
		{Item: "x", Events: []string{"e1", "e2"}},
		{Item: "x", From: 2, Events: []string{"e3"}},
	} {
		var read ItemDelta
		recode(is, d, &read)
		is.NoErr(c.Apply(Heartbeat{
			Owner:  ownerA,
			Open:   []string{"b"},
			Deltas: []BatchDelta{{Batch: "b", Whole: d.From == 0, Pieces: []ItemDelta{read}}},
		}, 1))
	}
	found, _ := c.Find("b")
	is.Equal(found.Progress[0].Events, []string{"e1", "e2", "e3"})

	// A text that replaces another one is sent from its start, which earlier releases understand.
	var read earlierDelta
	recode(is, ItemDelta{Item: "x", Text: 7, Events: []string{"f1"}}, &read)
	is.Equal(read.From, 0)
	is.Equal(read.Events, []string{"f1"})
}
