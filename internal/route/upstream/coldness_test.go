package upstream

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/kernel/wake"
)

const at = timer.Instant(time.Hour)

// after returns the instant that many seconds after at.
func after(seconds float64) timer.Instant {
	return at.Add(time.Duration(seconds * float64(time.Second)))
}

// Guards against a coldness that ends early because a list entry that was written before a
// response is received after it, and against one that a newer entry can't end.
func TestLaterEndHoldsUnlessNewsIsNewer(t *testing.T) {
	is := is.New(t)
	var u Upstream
	u.RecordColdness(10*time.Second, at, at)
	u.RecordListedColdness(0, after(-2), after(1))
	is.Equal(u.HeldUntil(), after(10))
	u.RecordListedColdness(0, after(1), after(4))
	is.True(!u.Held(after(4)))
	// A response to a request that was sent before the last reading.
	u.RecordColdness(9*time.Second, after(5), after(5))
	u.RecordColdness(0, after(4), after(6))
	is.True(u.Held(after(6)))
	u.RecordColdness(0, after(6), after(7))
	is.True(!u.Held(after(7)))
}

// Guards against sending to an upstream that may have restarted, and against holding it back once
// it has answered and its slow start is over.
func TestUpstreamIsColdAfterLostConnection(t *testing.T) {
	is := is.New(t)
	var u Upstream
	var lost wake.Signal
	u.SetColdSignals(nil, &lost)
	u.ConnectionLost(at)
	is.Equal(len(lost.C()), 1)
	is.True(!u.Usable(after(1000)))
	u.Answered(8*time.Second, after(-1), after(1)) // sent before the loss
	is.True(u.MayHaveRestarted())
	u.RecordListedColdness(0, after(-1), after(2)) // may have been written before the loss
	is.True(u.MayHaveRestarted())
	u.Answered(8*time.Second, after(2), after(3))
	is.True(!u.Usable(after(10)))
	is.True(u.Usable(after(11)))
	u.Answered(8*time.Second, after(11), after(12)) // only the first one counts
	is.True(u.Usable(after(12)))
}

// Guards against the use of a share that belongs to an earlier incarnation: other instances hold
// those of the present one. Only a newer list entry of the same incarnation allows it again.
func TestShareIsSuspendedUntilListed(t *testing.T) {
	is := is.New(t)
	for _, restart := range []func(u *Upstream){
		func(u *Upstream) { u.ConnectionLost(after(1)) },
		func(u *Upstream) { u.RecordColdness(30*time.Second, after(1), after(1)) },
	} {
		var u Upstream
		u.RecordColdness(20*time.Second, at, at)
		u.WantShare(at)
		is.True(u.ShareWanted())
		u.GrantShare(0, at)
		is.True(u.TakePermit(1, time.Second, at))
		is.True(!u.TakePermit(1, time.Second, after(0.9)))
		restart(&u)
		u.Answered(20*time.Second, after(1), after(2))
		is.True(u.Held(after(2)))
		is.True(!u.TakePermit(1, time.Second, after(2)))
		u.RecordListedColdness(20*time.Second, after(0), after(3))
		is.True(!u.TakePermit(1, time.Second, after(3))) // the entry may be older
		u.RecordListedColdness(20*time.Second, after(2), after(5))
		is.True(u.TakePermit(1, time.Second, after(5)))

	}
}

// Guards against a share that is used although a changed configuration has fewer.
func TestShareBeyondTheNumberOfSharesIsDropped(t *testing.T) {
	is := is.New(t)
	var u Upstream
	u.RecordColdness(20*time.Second, at, at)
	u.GrantShare(2, at)
	is.True(!u.TakePermit(2, time.Second, at))
	is.Equal(u.HeldUntil(), after(20))
}

// Guards against counting a cold upstream with all of its slots.
func TestColdUpstreamCountsWithItsPermits(t *testing.T) {
	is := is.New(t)
	s := &Set{Upstreams: []*Upstream{{Slots: 8}, {Slots: 8}, {Slots: 8}}}
	slots, _ := s.Capacity(at)
	is.Equal(slots, 24.0)
	s.Upstreams[0].RecordColdness(time.Second, at, at)
	s.Upstreams[1].RecordColdness(time.Second, at, at)
	s.Upstreams[1].GrantShare(0, at)
	slots, _ = s.Capacity(at)
	is.Equal(slots, 9.0)
	slots, _ = s.Capacity(after(1))
	is.Equal(slots, 24.0)
}
