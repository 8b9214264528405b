package catalog

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/engine"
)

func newEntryIn(id, domain string) Entry {
	e := newEntry(id, 1, false)
	e.FailureDomain = domain
	return e
}

// Guards against upstreams of an evacuated domain that can still be chosen or sent to, also those
// that appear later, against the loss of the others, and against an upstream that returns before
// OnReturned has marked it.
func TestEvacuatedUpstreamsAreLeftOut(t *testing.T) {
	is := is.New(t)
	b := &Upstreams{
		Timer: &timer.Manual{},
	}
	b.Update([]Entry{newEntryIn("u", "a"), newEntryIn("v", "b"), newEntryIn("w", "c")}, nil)
	u := b.Group("s").Upstreams[0]
	b.SetEvacuated(map[string]bool{"a": true, "b": true})
	b.Update([]Entry{newEntryIn("x", "a")}, nil)
	is.Equal(len(b.Group("s").Upstreams), 1)
	is.Equal(b.Group("s").Upstreams[0].ID, "w")
	is.Equal(b.Group("s").EvacuatedDomains, []string{"a", "b"})
	is.True(errors.Is(u.CheckSend(), engine.ErrWithdrawn))
	is.True(!u.Usable(b.Timer.Now()))

	var returned []string
	b.OnReturned = func(list []*Upstream) {
		for _, r := range list {
			is.True(r.Evacuated())
			returned = append(returned, r.ID)
		}
	}
	b.SetEvacuated(map[string]bool{"a": true})
	is.Equal(returned, []string{"v"})
	is.Equal(len(b.Group("s").Upstreams), 2)
	is.NoErr(b.Group("s").Upstreams[0].CheckSend())
}

// Guards against a request that waits for its connection to an upstream that started anew or left
// the list before its domain was evacuated.
func TestReplacedUpstreamIsEvacuated(t *testing.T) {
	is := is.New(t)
	b := &Upstreams{
		Timer: &timer.Manual{},
	}
	b.Update([]Entry{newEntryIn("u", "a"), newEntryIn("v", "a")}, nil)
	old := b.Group("s").Upstreams
	again := newEntryIn("u", "a")
	again.Born++
	b.Update([]Entry{again}, []string{"v"})
	b.SetEvacuated(map[string]bool{"a": true})
	for _, u := range old {
		is.True(errors.Is(u.CheckSend(), engine.ErrWithdrawn))
	}
}

// Guards against an instance that sends requests before it has read which domains are evacuated.
func TestNoUpstreamsBeforeEvacuationsAreKnown(t *testing.T) {
	is := is.New(t)
	b := &Upstreams{
		Timer:            &timer.Manual{},
		AwaitEvacuations: true,
	}
	b.Update([]Entry{newEntryIn("u", "a")}, nil)
	is.Equal(len(b.Group("s").Upstreams), 0)
	is.Equal(len(b.Groups()), 0)
	b.SetEvacuated(nil)
	is.Equal(len(b.Group("s").Upstreams), 1)
}

// Guards against load that an upstream cannot take when its failure domain is taken back cold.
func TestReturnedUpstreamIsCold(t *testing.T) {
	is := is.New(t)
	b := &Upstreams{
		Timer: &timer.Manual{},
	}
	b.SetServices(map[string]Service{
		"s": {
			ColdStart: 3 * time.Second,
			ColdRate:  4,
		},
	})
	b.Update([]Entry{newEntryIn("u", "a")}, nil)
	now := b.Timer.Now()
	u := b.Group("s").Upstreams[0]
	is.True(!u.Cold(now))
	b.SetEvacuated(map[string]bool{"a": true})
	b.SetEvacuated(nil)
	is.True(u.Cold(now.Add(3*time.Second - 1)))
	is.True(!u.Cold(now.Add(3 * time.Second)))
}

// Guards against an upstream that is held back for ever because the connection to it was lost, and
// its failure domain evacuated before it was probed.
func TestReturnedUpstreamIsProbed(t *testing.T) {
	is := is.New(t)
	b := &Upstreams{Timer: &timer.Manual{}}
	b.SetServices(map[string]Service{"s": {ColdStart: 3 * time.Second, ColdRate: 4}})
	b.Update([]Entry{newEntryIn("u", "a")}, nil)
	u := b.Group("s").Upstreams[0]
	u.ConnectionLost(b.Timer.Now())
	b.SetEvacuated(map[string]bool{"a": true})
	<-b.ConnectionLost.C() // there is nothing to probe
	b.SetEvacuated(nil)
	is.True(u.MayHaveRestarted())
	is.Equal(len(b.ConnectionLost.C()), 1)
}
