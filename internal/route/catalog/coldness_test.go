package catalog

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// newColdUpstreams returns upstreams of service s, which has a slow start of 10 s.
func newColdUpstreams() (*Upstreams, *timer.Manual) {
	clock := &timer.Manual{}
	clock.Advance(time.Hour)
	b := &Upstreams{Timer: clock}
	b.SetServices(map[string]Service{"s": {ColdStart: 10 * time.Second, ColdRate: 4}})
	return b, clock
}

func coldEntry(id string, born int64, left time.Duration) Entry {
	e := newEntry(id, born, false)
	e.ColdFor = left
	return e
}

// coldFor returns how much longer an upstream is held.
func coldFor(b *Upstreams, clock *timer.Manual, i int) time.Duration {
	return max(0, b.Group("s").Upstreams[i].HeldUntil().Sub(clock.Now()))
}

// Guards against sending at full rate to upstreams that have just started: those in the first
// listing are as cold as it says, later ones and new incarnations for the whole slow start, until
// a later entry says how much longer.
func TestColdnessOfListedUpstreams(t *testing.T) {
	is := is.New(t)
	b, clock := newColdUpstreams()
	b.Update([]Entry{coldEntry("a", 1, 0), coldEntry("b", 1, 3*time.Second)}, nil)
	is.Equal(coldFor(b, clock, 0), 0*time.Second)
	is.Equal(coldFor(b, clock, 1), 3*time.Second)
	b.Update([]Entry{coldEntry("a", 2, 0), coldEntry("c", 1, time.Second)}, nil)
	is.Equal(coldFor(b, clock, 0), 10*time.Second)
	is.Equal(coldFor(b, clock, 2), 10*time.Second)
	clock.Advance(time.Second)
	b.Update([]Entry{coldEntry("a", 2, 4*time.Second), coldEntry("c", 1, 0)}, nil)
	is.Equal(coldFor(b, clock, 0), 4*time.Second)
	is.Equal(coldFor(b, clock, 2), 0*time.Second)
	b.Update(nil, []string{"c"})
	b.Update([]Entry{coldEntry("c", 1, 0)}, nil)
	is.Equal(coldFor(b, clock, 2), 10*time.Second) // it was missing for a while
}

// Guards against taking an upstream for warm because its entry has no usable figure.
func TestUnusableColdnessIsLoggedAndAssumed(t *testing.T) {
	is := is.New(t)
	b, clock := newColdUpstreams()
	var bad []string
	b.OnBadColdness = func(id string, assumed time.Duration) {
		bad = append(bad, id)
		is.Equal(assumed, 10*time.Second)
	}
	b.Update([]Entry{coldEntry("a", 1, -1), coldEntry("b", 1, 20*time.Minute), coldEntry("c", 1, 10500*time.Millisecond)}, nil)
	is.Equal(bad, []string{"a", "b"})
	is.Equal(coldFor(b, clock, 0), 10*time.Second)
	is.Equal(coldFor(b, clock, 1), 10*time.Second)
}

// Guards against holding back requests to services without a slow start, and against entries that
// are received before the configuration that says which services have one.
func TestColdnessFollowsTheConfiguration(t *testing.T) {
	is := is.New(t)
	clock := &timer.Manual{}
	clock.Advance(time.Hour)
	b := &Upstreams{Timer: clock}
	b.Update([]Entry{coldEntry("a", 1, 5*time.Second)}, nil)
	b.Update([]Entry{coldEntry("b", 1, 0)}, nil)
	is.Equal(coldFor(b, clock, 0), 0*time.Second)
	clock.Advance(time.Second)
	b.SetServices(map[string]Service{"s": {ColdStart: 10 * time.Second, ColdRate: 4}})
	is.Equal(coldFor(b, clock, 0), 4*time.Second)
	is.Equal(coldFor(b, clock, 1), 9*time.Second)
	b.SetServices(map[string]Service{"s": {}})
	is.Equal(coldFor(b, clock, 0), 0*time.Second)
}
