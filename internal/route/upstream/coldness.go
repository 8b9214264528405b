package upstream

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/kernel/wake"
)

// unknownEnd is the end of a coldness that is not known, as the upstream may have restarted and
// has not answered since.
const unknownEnd = math.MaxInt64

// againTolerance is by how much the end of the coldness by a reading may be later than the known
// one. It covers the rounding of readings and the drift of clocks.
const againTolerance = time.Second

// claimState says whether this instance claims or holds a share of the requests that a cold
// upstream takes.
type claimState int32

const (
	claimNone claimState = iota
	claimWanted
	claimHeld
	// claimDenied means that other instances hold all shares of this incarnation.
	claimDenied
)

// coldness is the slow start state of an upstream. The zero value is that of a warm one.
type coldness struct {
	// until is the end of the coldness, and heldUntil the time before which this instance must
	// not send: until without a share, and the time of the next permit with one.
	until     atomic.Int64
	heldUntil atomic.Int64
	claim     atomic.Int32
	// wantedAt is when the share was asked for.
	wantedAt atomic.Int64

	mu sync.Mutex
	// wanted wakes the component that claims shares, and lost the one that probes upstreams
	// whose connection was lost; nil if there is none.
	wanted, lost *wake.Signal
	// knownAt is when the last reading of the upstream itself, or the last loss of a connection,
	// became known, and listedAt when the last list entry did. News that may describe an earlier
	// state does not end the coldness sooner. List entries are ordered among themselves.
	knownAt  timer.Instant
	listedAt timer.Instant
	// share is the number of the share, if there is one.
	share int
	// suspended says that the share must not be used, because it may belong to an earlier
	// incarnation. Only a list entry shows which incarnation runs.
	suspended  bool
	nextPermit timer.Instant
}

// SetColdSignals sets the signals that are set when a share for the upstream is wanted, and when a
// connection to it was lost. It must be called before the upstream is in use.
func (u *Upstream) SetColdSignals(wanted, lost *wake.Signal) {
	u.cold.wanted, u.cold.lost = wanted, lost
}

// Cold reports whether the upstream is in its slow start and takes only requests with a permit.
func (u *Upstream) Cold(now timer.Instant) bool { return int64(now) < u.cold.until.Load() }

// Held reports whether this instance must not send to the upstream now because it is cold.
func (u *Upstream) Held(now timer.Instant) bool { return int64(now) < u.cold.heldUntil.Load() }

// HeldUntil returns the time before which this instance must not send to the upstream. It is the
// largest possible instant if that time is not known.
func (u *Upstream) HeldUntil() timer.Instant { return timer.Instant(u.cold.heldUntil.Load()) }

// MayHaveRestarted reports whether the upstream may have restarted and has not answered since.
func (u *Upstream) MayHaveRestarted() bool { return u.cold.until.Load() == unknownEnd }

// WantShare asks for a share of the requests that the upstream takes while it is cold, unless
// there is one or all are taken.
func (u *Upstream) WantShare(now timer.Instant) {
	if u.MayHaveRestarted() {
		return // it is not known for which incarnation
	}
	if u.cold.claim.Load() != int32(claimNone) || !u.cold.claim.CompareAndSwap(int32(claimNone), int32(claimWanted)) {
		return
	}
	u.cold.wantedAt.Store(int64(now))
	if u.cold.wanted != nil {
		u.cold.wanted.Set()
	}
}

// ShareWanted reports whether a share was asked for and neither granted nor denied.
func (u *Upstream) ShareWanted() bool { return u.cold.claim.Load() == int32(claimWanted) }

// ShareWantedSince returns when the share was asked for.
func (u *Upstream) ShareWantedSince() timer.Instant { return timer.Instant(u.cold.wantedAt.Load()) }

// ForgetWanted withdraws the wish for a share.
func (u *Upstream) ForgetWanted() {
	u.cold.claim.CompareAndSwap(int32(claimWanted), int32(claimNone))
}

// HasShare reports whether this instance holds a share.
func (u *Upstream) HasShare() bool { return u.cold.claim.Load() == int32(claimHeld) }

// ShareSuspended reports whether the share must not be used, because the upstream may have
// restarted.
func (u *Upstream) ShareSuspended() bool {
	u.cold.mu.Lock()
	defer u.cold.mu.Unlock()
	return u.cold.suspended
}

// GrantShare records that this instance holds the share with the given number, from 0. The first
// permit is available at first.
func (u *Upstream) GrantShare(share int, first timer.Instant) {
	c := &u.cold
	c.mu.Lock()
	defer c.mu.Unlock()
	c.share = share
	c.claim.Store(int32(claimHeld))
	c.nextPermit = max(c.nextPermit, first)
	c.updateHeld()
}

// DenyShare records that this instance gets no share for this incarnation of the upstream, or may
// no longer use the one that it has.
func (u *Upstream) DenyShare() {
	c := &u.cold
	c.mu.Lock()
	defer c.mu.Unlock()
	c.claim.Store(int32(claimDenied))
	c.updateHeld()
}

// TakePermit takes the permit for one request to a cold upstream that has the given number of
// shares, and reports false if this instance has none now. The next one is available after
// interval.
func (u *Upstream) TakePermit(shares int, interval time.Duration, now timer.Instant) bool {
	c := &u.cold
	c.mu.Lock()
	defer c.mu.Unlock()
	if !u.HasShare() || c.suspended || now < c.nextPermit {
		return false
	}
	if c.share >= shares {
		// The configuration has changed since the claim.
		c.claim.Store(int32(claimDenied))
		c.updateHeld()
		return false
	}
	c.nextPermit = now.Add(interval)
	c.updateHeld()
	return true
}

// updateHeld updates heldUntil after a change. The caller holds c.mu.
func (c *coldness) updateHeld() {
	until := c.until.Load()
	if claimState(c.claim.Load()) == claimHeld && !c.suspended {
		until = min(until, int64(c.nextPermit))
	}
	c.heldUntil.Store(until)
}

// setUntil sets the end of the coldness. The caller holds c.mu.
func (c *coldness) setUntil(end int64) {
	c.until.Store(end)
	c.updateHeld()
}

// AssumeCold records that the upstream counts as cold for d, without a reading that says so.
func (u *Upstream) AssumeCold(d time.Duration, now timer.Instant) {
	c := &u.cold
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setUntil(max(c.until.Load(), int64(now.Add(d))))
}

// RecordColdness records a reading of the upstream itself, which was received at now and says
// that the upstream is cold for left. since is the earliest time at which it may have been true.
func (u *Upstream) RecordColdness(left time.Duration, since, now timer.Instant) {
	if left == 0 && u.cold.until.Load() <= int64(now) {
		return // the usual case of a warm upstream
	}
	c := &u.cold
	c.mu.Lock()
	defer c.mu.Unlock()
	if until := c.until.Load(); until != unknownEnd && int64(since.Add(left)) > until+int64(againTolerance) && u.HasShare() {
		// Cold again, however long the response took. If the upstream has restarted, other
		// instances may hold the shares of the new incarnation.
		c.suspended = true
	}
	older := since < max(c.knownAt, c.listedAt)
	c.read(left, older, now)
	if !older {
		c.knownAt = now
	}
}

// RecordListedColdness is RecordColdness for a newer list entry of the same incarnation.
func (u *Upstream) RecordListedColdness(left time.Duration, since, now timer.Instant) {
	c := &u.cold
	c.mu.Lock()
	defer c.mu.Unlock()
	older := c.knownAt != 0 && since < c.knownAt
	if !older {
		c.suspended = false
	}
	c.read(left, older, now)
	c.listedAt = now
}

// read sets the end of the coldness by a reading. If the reading may be older than what is known,
// the later of the two ends holds. The caller holds c.mu.
func (c *coldness) read(left time.Duration, older bool, now timer.Instant) {
	end := int64(now.Add(left))
	if older {
		end = max(c.until.Load(), end)
	}
	c.setUntil(end)
}

// ConnectionLost records that a connection to the upstream was lost or refused. The upstream may
// have restarted, so it counts as cold, and the share may be one of an earlier incarnation.
func (u *Upstream) ConnectionLost(now timer.Instant) {
	c := &u.cold
	c.mu.Lock()
	defer c.mu.Unlock()
	c.knownAt = now
	c.suspended = true
	c.setUntil(unknownEnd)
	if c.lost != nil {
		c.lost.Set()
	}
}

// PermitSlots returns how many requests this instance may send to the upstream at this moment:
// its slots, or at most one while it is cold.
func (u *Upstream) PermitSlots(now timer.Instant) int {
	switch {
	case !u.Cold(now):
		return max(1, u.Slots)
	case u.HasShare():
		return 1
	}
	return 0
}

// LostWithin reports whether the upstream may have restarted, and that became known within d.
func (u *Upstream) LostWithin(d time.Duration, now timer.Instant) bool {
	if !u.MayHaveRestarted() {
		return false
	}
	u.cold.mu.Lock()
	defer u.cold.mu.Unlock()
	return now.Sub(u.cold.knownAt) < d
}

// Answered records that the upstream answered a request that was sent at since. If it may have
// restarted before, it counts as cold for d.
func (u *Upstream) Answered(d time.Duration, since, now timer.Instant) {
	if !u.MayHaveRestarted() {
		return
	}
	c := &u.cold
	c.mu.Lock()
	defer c.mu.Unlock()
	if u.MayHaveRestarted() && since >= c.knownAt {
		c.setUntil(int64(now.Add(d)))
	}
}

// EndColdness ends the slow start, for a service that has none any more.
func (u *Upstream) EndColdness() {
	c := &u.cold
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setUntil(0)
}
