package upstream

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/standin/property"
)

func newSharedSet(n int) *Set {
	s := &Set{Shared: &Shared{}}
	for i := range n {
		s.Upstreams = append(s.Upstreams, &Upstream{
			ID:     fmt.Sprintf("u%05d", i),
			Shared: s.Shared,
		})
	}
	return s
}

// Guards against a median that differs from that of the sorted paces.
func TestSelectNthEqualsSorting(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		values := rapid.SliceOfN(rapid.Float64Range(0, 9), 1, 200).Draw(t, "values")
		if rapid.Bool().Draw(t, "whole") { // many equal values
			for i := range values {
				values[i] = float64(int(values[i]))
			}
		}
		n := rapid.IntRange(0, len(values)-1).Draw(t, "n")
		sorted := slices.Sorted(slices.Values(values))
		if got := selectNth(values, n); got != sorted[n] {
			t.Fatalf("%v at %d, wanted %v", got, n, sorted[n])
		}
	})
}

// Guards against a small service whose median pace is out of date, and against a large one whose
// median never changes.
func TestMedianPaceFollowsThePaces(t *testing.T) {
	is := is.New(t)
	small, large := newSharedSet(maxExactPaces), newSharedSet(4000)
	for _, s := range []*Set{small, large} {
		for i, u := range s.Upstreams {
			u.RecordPace(time.Duration(100+i)*time.Millisecond, 1)
			if len(s.Upstreams) <= maxExactPaces {
				is.Equal(s.MedianPace(), medianOf(s.Upstreams, (*Upstream).Pace))
			}
		}
		s.MedianPace()
		for range 40 {
			for _, u := range s.Upstreams {
				u.RecordPace(10*time.Millisecond, 2)
			}
		}
		is.True(s.MedianPace() < 0.011)
	}
}

// Guards against an upstream that is lost from the list of idle connections, or listed twice, while
// requests end and the list is pruned at the same time.
func TestIdleListHasEachUpstreamOnce(t *testing.T) {
	is := is.New(t)
	s := newSharedSet(60)
	var wg sync.WaitGroup
	for g := range 4 {
		wg.Go(func() {
			for round := range 200 {
				now := timer.Instant(time.Hour).Add(time.Duration(round) * time.Millisecond)
				for i := g % 2; i < len(s.Upstreams); i += 2 {
					s.Upstreams[i].ConnectionIdle(now, time.Millisecond)
				}
				s.PruneIdle(now.Add(time.Millisecond))
			}
		})
	}
	wg.Wait()
	now := timer.Instant(2 * time.Hour)
	s.PruneIdle(now)
	is.Equal(len(s.PossiblyIdle()), 0)
	for _, u := range s.Upstreams {
		u.ConnectionIdle(now, time.Second)
		u.ConnectionIdle(now, time.Second)
	}
	is.Equal(len(s.PossiblyIdle()), len(s.Upstreams))
	listed := make(map[*Upstream]bool)
	for _, u := range s.PossiblyIdle() {
		listed[u] = true
	}
	is.Equal(len(listed), len(s.Upstreams))
}
