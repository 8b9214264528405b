package gossip

import (
	"fmt"
	"testing"
)

// BenchmarkExchangeQuiet measures an exchange between two instances that have the
// same entries, up to the number of entries in the target fleet.
func BenchmarkExchangeQuiet(b *testing.B) {
	for _, n := range []int{20, 1100, 12000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var s, other State
			for i := range n {
				e := Entry{
					Kind:  KindUpstream,
					Key:   fmt.Sprintf("u%d", i),
					Value: make([]byte, 150),
					Version: Version{
						Major: 1,
					},
				}
				s.Merge(e)
				other.Merge(e)
			}
			for range Transmissions * n / MaxEntries * 2 {
				s.NewExchange("a")
			}
			b.ReportAllocs()
			for b.Loop() {
				other.HandleArgs(s.NewExchange("a"), 0)
			}
		})
	}
}
