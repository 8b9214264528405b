package configuration_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/fleet/configuration"
)

// Guards against peers that send each other the history of the configuration: once it
// is full, it would be most of what they transfer.
func TestWithoutHistoryOmitsHistory(t *testing.T) {
	is := is.New(t)
	doc := &configuration.Document{}
	for i := range configuration.HistoryLength + 10 {
		doc = doc.WithChange(configuration.Change{
			ID:       fmt.Sprintf("19acd3f0b2c-%08x", i),
			Operator: "an",
			Note:     "more slots for the panels",
			Parent:   uint64(i),
		}, configurationJSON("t"))
	}
	whole, err := doc.Encode()
	is.NoErr(err)
	bare, err := doc.WithoutHistory().Encode()
	is.NoErr(err)
	t.Logf("whole %d bytes, bare %d", len(whole), len(bare))
	is.True(len(whole) < 1<<20) // fits the key-value service
	is.True(len(bare) < 1000)
	is.Equal(len(doc.History), configuration.HistoryLength)
	back, err := configuration.Decode(bare, 7)
	is.NoErr(err)
	is.Equal(back.Parsed().Team, "t")
}
