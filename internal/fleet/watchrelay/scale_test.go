package watchrelay

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/egretbend/egretbend/internal/fleet/registry"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
)

// fixedMembers is a Membership that does not change.
type fixedMembers []registry.Member

// Members implements Membership.
func (m fixedMembers) Members() []registry.Member { return m }

// Self implements Membership.
func (m fixedMembers) Self() registry.Member { return m[0] }

// BenchmarkWatchers measures the choice of the watchers, which each query makes.
func BenchmarkWatchers(b *testing.B) {
	for _, size := range []int{100, 1_130} {
		members := make(fixedMembers, size)
		for i := range members {
			members[i] = registry.Member{
				Name:  fmt.Sprintf("entry-%04d", i),
				Cores: []float64{0.2, 0.4, 0.8}[i%3],
			}
		}
		r := &Relay{Registry: members}
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				r.watchersToAsk()
			}
		})
	}
}

// BenchmarkCopy measures the memory of the copy of a list of 10,000 upstreams, and the answer to
// a query.
func BenchmarkCopy(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var c Copy
	c.Apply(listChanges(10_000, 0), 10_000)
	runtime.GC()
	runtime.ReadMemStats(&after)
	c.Apply(listChanges(2_000, 10_000), 12_000)
	b.ReportAllocs()
	for b.Loop() {
		c.changesAfter(11_900)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
	runtime.KeepAlive(&c)
}

// listChanges returns n changes of the list of upstreams after a revision.
func listChanges(n int, after uint64) []keyvalue.Change {
	changes := make([]keyvalue.Change, n)
	for i := range changes {
		changes[i].Item = keyvalue.Item{
			Key:      fmt.Sprintf("upstreams/engine-%05d", i),
			Value:    []byte(newListEntry(i, after)),
			Revision: after + uint64(i) + 1,
		}
	}
	return changes
}

// newListEntry returns an entry of the list of upstreams with the versions of ten models.
func newListEntry(i int, version uint64) string {
	models := ""
	for m := range 10 {
		if m > 0 {
			models += ","
		}
		models += fmt.Sprintf(`{"name":"model-%d","version":%d}`, m, version)
	}
	return fmt.Sprintf(`{"service":"engines","address":"10.0.%d.%d:8000","zone":"zone-%d","slots":6,"state":"ready","spot":false,"born":1764792000000,"models":[%s],"cold-remaining-ms":0}`,
		i/250, i%250, i%12, models)
}
