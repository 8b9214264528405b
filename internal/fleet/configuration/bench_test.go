package configuration_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/egretbend/egretbend/internal/fleet/configuration"
)

// BenchmarkDecode measures the time an instance takes to decode a changed document
// with 50 deployments.
func BenchmarkDecode(b *testing.B) {
	var list []string
	for i := range 50 {
		list = append(list, fmt.Sprintf(`{"name": "d%d", "kind": "model", "group": "g%d", "slots": 8, "staleness": {"max_versions": 4}}`, i, i))
	}
	value := fmt.Appendf(nil, `{"history": [], "configuration": {"format": 1, "team": "t", "deployments": [%s]}}`, strings.Join(list, ","))
	b.SetBytes(int64(len(value)))
	for b.Loop() {
		if _, err := configuration.Decode(value, 1); err != nil {
			b.Fatal(err)
		}
	}
}
