package weights

import (
	"fmt"
	"testing"
)

// newScaleFleet returns engines of ten models, each of which lags one of its versions, and the
// input of a division by need: the first models have crowded steps and take engines from others.
func newScaleFleet(n int) (engines []Engine, models []string, latest map[string]uint64, shares map[string]float64, stepping map[string]bool) {
	latest = make(map[string]uint64)
	shares = make(map[string]float64)
	stepping = make(map[string]bool)
	for i := range 10 {
		m := fmt.Sprint("m", i)
		models = append(models, m)
		latest[m] = 20
		shares[m] = 0.03
		if i < 2 {
			shares[m] = 0.38
		}
		stepping[m] = i < 2
	}
	for i := range n {
		versions := make(map[string]uint64)
		for _, m := range models {
			versions[m] = 1
		}
		versions[models[i%len(models)]] = 18
		engines = append(engines, newEngine(fmt.Sprintf("engine-%05d", i), float64(i%7)/7, versions))
	}
	return engines, models, latest, shares, stepping
}

// BenchmarkDivision measures a division of engines among ten models, and a plan of the orders
// after all models published a version.
func BenchmarkDivision(b *testing.B) {
	for _, size := range []int{1_000, 10_000} {
		engines, models, latest, shares, stepping := newScaleFleet(size)
		b.Run(fmt.Sprintf("assign/%d", size), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Assign(engines, models, latest, Demand(shares))
			}
		})
		b.Run(fmt.Sprintf("need/%d", size), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				AssignByNeed(engines, models, latest, shares, stepping)
			}
		})
		assignment := Assign(engines, models, latest, nil)
		b.Run(fmt.Sprintf("plan/%d", size), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Plan(engines, latest, nil, assignment, MaxLoads(size))
			}
		})
	}
}
