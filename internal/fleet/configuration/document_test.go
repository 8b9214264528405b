package configuration_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/fleet/configuration"
)

// A configuration has been changed as often as its history is long. Peers that
// passed the history on would spend most of their bytes on it.
func TestPeersPassNoHistoryOn(t *testing.T) {
	is := is.New(t)
	doc := &configuration.Document{}
	for i := range configuration.HistoryLength + 10 {
		doc = doc.With(configuration.Change{
			ID:       fmt.Sprintf("19acd3f0b2c-%08x", i),
			Operator: "an",
			Note:     "more slots for the panels",
			Parent:   uint64(i),
		}, text("t"))
	}
	whole, err := doc.Encode()
	is.NoErr(err)
	bare, err := doc.Bare().Encode()
	is.NoErr(err)
	t.Logf("whole %d bytes, bare %d", len(whole), len(bare))
	is.True(len(whole) < 1<<20) // fits the key-value service
	is.True(len(bare) < 1000)
	is.Equal(len(doc.History), configuration.HistoryLength)
	back, err := configuration.Decode(bare, 7)
	is.NoErr(err)
	is.Equal(back.Parsed().Team, "t")
}
