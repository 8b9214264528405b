package registry

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/egretbend/egretbend/internal/outside/keyvalue"
)

// newScaleMembers returns the members of a fleet, of which a third is eligible for batches.
func newScaleMembers(n int) []Member {
	members := make([]Member, n)
	for i := range members {
		members[i] = Member{
			Name:          fmt.Sprintf("entry-%04d", i),
			Incarnation:   "20260101",
			PeerAddress:   fmt.Sprintf("10.1.%d.%d:9000", i/250, i%250),
			EntryAddress:  fmt.Sprintf("10.1.%d.%d:80", i/250, i%250),
			FailureDomain: fmt.Sprintf("zone-%d", i%12),
			Region:        fmt.Sprintf("region-%d", i%3),
			Cores:         []float64{0.2, 0.4, 0.8}[i%3],
		}
	}
	return members
}

// BenchmarkView measures the choices among the members, and a change of one member.
func BenchmarkView(b *testing.B) {
	for _, size := range []int{100, 1_130} {
		members := newScaleMembers(size)
		r := &Registry{}
		r.SetSelf(members[0])
		var changes []keyvalue.Change
		for _, m := range members {
			value, err := json.Marshal(m)
			if err != nil {
				b.Fatal(err)
			}
			changes = append(changes, keyvalue.Change{Item: keyvalue.Item{Key: InstanceKey(m.Name), Value: value}})
		}
		r.applyChanges(changes)
		for name, do := range map[string]func(){
			"change":    func() { r.applyChanges(changes[1:2]) },
			"first":     func() { r.applyChanges(changes) },
			"eligible":  func() { r.Eligible() },
			"first-one": func() { r.FirstEligible() },
			"alive":     func() { r.Alive(members[size-1].Name, "20260101") },
			"ranked":    func() { Ranked(members, "key", 3) },
			"successor": func() { Successors(members, members[size/2].Name) },
			"addresses": func() { r.EntryAddresses(Client{FailureDomain: "zone-1"}, 8) },
		} {
			b.Run(fmt.Sprintf("%s/%d", name, size), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					do()
				}
			})
		}
	}
}
