package schedule

import (
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// Limits of lending, by which a step that crowds its own engines uses free slots of other
// models (docs/design/division.md).
const (
	// maxShortLoan is the expected run time up to which an item is short for lending. The
	// owner of the engine gets the slot back within that time.
	maxShortLoan = time.Second
	// minFreeForShort and minFreeForLong are how long an engine must have had free slots
	// before it takes a short item, or any other. Between two items of its own step a
	// slot is free for some milliseconds, and two steps that begin together know of each
	// other within 300 ms.
	minFreeForShort = 300 * time.Millisecond
	minFreeForLong  = time.Second
	// lendingReserve is the number of slots that are left free for the owner. It also
	// absorbs two instances that send an item to the same engine at the same time.
	lendingReserve = 1
	// longLoanShare is the share of an engine's slots that stays free of items which are
	// not short. Such an item may hold its slot for most of a step of the owner.
	longLoanShare = 0.5
	// refusedLoanBackoff is how long an engine is not borrowed after it refused an item.
	refusedLoanBackoff = 2 * time.Second
	// refusalsPerSend and maxRefusals bound the refusals of borrowed engines to a
	// twentieth of all sends, after an initial number. Refused sends must stay below a
	// tenth, and an instance's own engines refuse some.
	refusalsPerSend = 0.05
	maxRefusals     = 4
	// maxIdleTime is how long an instance without a send waits until it may risk another
	// refusal. Queued items must not wait over five seconds beside idle engines.
	maxIdleTime = 2 * time.Second
)

// loan is the state of one engine that may lend slots.
type loan struct {
	// freeSince is when the engine was first seen with a free slot, without
	// interruption; seenAt is when it was last looked at.
	freeSince, seenAt timer.Instant
	free              bool
	// lentAt is when the last item was sent there.
	lentAt timer.Instant
	lent   bool
	// refusedUntil is the end of the backoff after a refusal.
	refusedUntil timer.Instant
}

// Lender decides which engines of other models the steps of one instance may use. The zero
// value is ready to use. It must not be used concurrently.
type Lender struct {
	loans map[string]*loan
	// spent is the number of refusals that were risked, less what later sends earned.
	spent float64
	// idleSince is since when nothing was sent; 0 after a send.
	idleSince timer.Instant
}

// loanOf returns the state of an engine.
func (l *Lender) loanOf(id string) *loan {
	if l.loans == nil {
		l.loans = make(map[string]*loan)
	}
	if l.loans[id] == nil {
		l.loans[id] = &loan{}
	}
	return l.loans[id]
}

// Observe records the state of an engine of another model. ownerWaits says that the step of
// that model is known to have waiting items. An engine that was not observed for
// minFreeForShort counts as not free before.
func (l *Lender) Observe(id string, e Engine, ownerWaits bool, now timer.Instant) {
	s := l.loanOf(id)
	free := e.FreeSlots >= 1 && !ownerWaits
	if free && (!s.free || now.Sub(s.seenAt) >= minFreeForShort) {
		s.freeSince = now
	}
	s.free = free
	s.seenAt = now
}

// Allows reports whether an engine of another model may take an item with the given
// expected run time, 0 if unknown. ownerCrowded says that the step of that model crowds its
// share; its engines are not used unless a recent report shows free slots. An engine
// without a recent report may take one item a second, whose answer brings a report.
func (l *Lender) Allows(id string, e Engine, expected time.Duration, ownerCrowded bool, now timer.Instant) bool {
	s := l.loanOf(id)
	l.forgive(now)
	if !s.free || now < s.refusedUntil || l.spent > maxRefusals-1 {
		return false
	}
	reported := e.ReportAge <= maxOtherModelReportAge
	if !reported && ownerCrowded {
		return false
	}
	if s.lent {
		// The report must show the item that was sent last.
		waited := now.Sub(s.lentAt)
		if reported && e.ReportAge > waited || !reported && waited < maxOtherModelReportAge {
			return false
		}
	}
	if shortLoan(expected) {
		return now.Sub(s.freeSince) >= minFreeForShort && e.FreeSlots >= 1+lendingReserve
	}
	return now.Sub(s.freeSince) >= minFreeForLong && e.FreeSlots >= 1+longLoanShare*float64(e.Slots)
}

// Lent records that an item is sent to an engine of another model. Settle must be called
// when the engine has accepted or refused it.
func (l *Lender) Lent(id string, now timer.Instant) {
	s := l.loanOf(id)
	s.lent = true
	s.lentAt = now
	l.spent++
}

// Settle records whether an engine of another model refused an item.
func (l *Lender) Settle(id string, refused bool, now timer.Instant) {
	if !refused {
		l.spent = max(0, l.spent-1)
		return
	}
	s := l.loanOf(id)
	s.free = false
	s.refusedUntil = now.Add(refusedLoanBackoff)
}

// forgive allows one more loan after a time without a send: an instance whose own engines are
// full of long streams sends nothing that would reduce the refusals that count.
func (l *Lender) forgive(now timer.Instant) {
	if l.idleSince == 0 {
		l.idleSince = now
	}
	if now.Sub(l.idleSince) >= maxIdleTime {
		l.spent = min(l.spent, maxRefusals-1)
	}
}

// Sent records an item that is sent to any engine.
func (l *Lender) Sent() {
	l.spent = max(0, l.spent-refusalsPerSend)
	l.idleSince = 0
}

// Forget removes the state of the engines that were not observed since a time.
func (l *Lender) Forget(since timer.Instant) {
	for id, s := range l.loans {
		if s.seenAt < since && s.refusedUntil < since {
			delete(l.loans, id)
		}
	}
}

// ShortLoan reports whether the item is short for lending.
func (n Need) ShortLoan() bool { return shortLoan(n.ExpectedDuration) }

func shortLoan(expected time.Duration) bool { return expected > 0 && expected <= maxShortLoan }
