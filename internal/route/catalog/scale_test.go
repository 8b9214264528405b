package catalog_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/catalog"
)

// newEntries returns the entries of a fleet: nine tenths are engines of one service, the others
// are upstreams of a plain service.
func newEntries(n int) []catalog.Entry {
	entries := make([]catalog.Entry, n)
	for i := range entries {
		entries[i] = catalog.Entry{
			ID:            fmt.Sprintf("engine-%05d", i),
			Service:       "engines",
			Address:       fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250),
			FailureDomain: fmt.Sprintf("zone-%d", i%12),
			Slots:         6,
			Born:          1,
			Versions:      map[string]uint64{"m0": 1, "m1": 1, "m2": 1},
		}
		if i%10 == 0 {
			entries[i].Service = "plain"
		}
	}
	return entries
}

// BenchmarkUpdate measures the first list, and updates with changed and with new entries.
func BenchmarkUpdate(b *testing.B) {
	for _, size := range []int{1_000, 10_000} {
		entries := newEntries(size)
		b.Run(fmt.Sprintf("first/%d", size), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				u := &catalog.Upstreams{Timer: timer.Real{}}
				u.Update(entries, nil)
			}
		})
		for _, changed := range []int{1, 100} {
			b.Run(fmt.Sprintf("changed=%d/%d", changed, size), func(b *testing.B) {
				u := &catalog.Upstreams{Timer: timer.Real{}}
				u.Update(entries, nil)
				b.ReportAllocs()
				for b.Loop() {
					u.Update(entries[:changed], nil)
				}
			})
		}
		b.Run(fmt.Sprintf("restarted=1/%d", size), func(b *testing.B) {
			u := &catalog.Upstreams{Timer: timer.Real{}}
			u.Update(entries, nil)
			restarted := entries[size/2+1]
			b.ReportAllocs()
			for b.Loop() {
				restarted.Born++
				u.Update([]catalog.Entry{restarted}, nil)
			}
		})
	}
}

// BenchmarkState measures the memory that the upstreams take without the strings and maps of
// their entries.
func BenchmarkState(b *testing.B) {
	entries := newEntries(10_000)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	u := &catalog.Upstreams{Timer: timer.Real{}}
	u.Update(append([]catalog.Entry(nil), entries...), nil)
	runtime.GC()
	runtime.ReadMemStats(&after)
	for b.Loop() {
		runtime.KeepAlive(u)
	}
	runtime.KeepAlive(entries)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
}

// BenchmarkDetectOutliers measures the periodic comparison of the paces, and the median for one
// decision while paces are recorded.
func BenchmarkDetectOutliers(b *testing.B) {
	for _, size := range []int{1_000, 10_000} {
		u := &catalog.Upstreams{Timer: timer.Real{}}
		u.Update(newEntries(size), nil)
		group := u.Group("engines")
		for i, e := range group.Upstreams {
			e.Begin()
			e.Succeeded(time.Duration(50+i*7919%13) * time.Millisecond)
		}
		b.Run(fmt.Sprintf("detect/%d", size), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				u.DetectOutliers(timer.Real{}.Now())
			}
		})
		b.Run(fmt.Sprintf("median/%d", size), func(b *testing.B) {
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				e := group.Upstreams[i*7919%len(group.Upstreams)]
				e.Begin()
				e.Succeeded(time.Duration(50+i%13) * time.Millisecond)
				group.Set.MedianPace()
				i++
			}
		})
	}
}
