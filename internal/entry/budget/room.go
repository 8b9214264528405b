package budget

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// awaitGrowth is Await for the next part of a response of unknown length. While memory is
// scarce, one response grows at a time: if several held a part and waited for room for
// the rest, they would wait for each other.
func (l *Lease) awaitGrowth(ctx context.Context, n int64) error { return l.await(ctx, n, true) }

// await waits until there is room for n bytes of a response. growing is set for the next part of one
// of unknown length.
func (l *Lease) await(ctx context.Context, n int64, growing bool) error {
	if l == nil || n <= 0 {
		return nil
	}
	b := l.budget
	since := b.timer.Now()
	for {
		b.mu.Lock()
		switch {
		case l.closed || l.cut:
			b.mu.Unlock()
			return ErrClosed
		case b.limit <= 0 || b.held+n <= b.limit && (!growing || l.mayGrow(n)):
			l.add(n)
			b.mu.Unlock()
			return nil
		case l.bytes+n > b.limit:
			b.mu.Unlock()
			return ErrNeverFits
		case growing && l.mustYield(n, since):
			b.mu.Unlock()
			return ErrNoRoom
		}
		bytes := l.bytes
		b.waiting += bytes
		victims := b.makeRoom(b.limit, n)
		b.mu.Unlock()
		b.logCuts(victims)
		ok := timer.Wait(b.timer, roomPollInterval, ctx.Done())
		b.mu.Lock()
		b.waiting -= bytes
		b.mu.Unlock()
		if !ok {
			return ctx.Err()
		}
	}
}

// mayGrow reports whether a response of unknown length may grow by n bytes. Beyond half of
// the bound, this is one response at a time, until it has not grown for minIdle because
// its upstream is slow. budget.mu must be held.
func (l *Lease) mayGrow(n int64) bool {
	b := l.budget
	if b.held+n <= b.limit/2 {
		return true
	}
	now := b.timer.Now()
	if b.grower != nil && b.grower != l && now.Sub(b.grownAt) < minIdle {
		return false
	}
	b.grower, b.grownAt = l, now
	return true
}

// mustYield reports whether a response of unknown length, which has waited since an instant for room
// for n bytes, must end: it may have no end itself, and what it holds is room for others. That is so if
// there is no room even after all have ended that don't wait, or if it has waited for minIdle.
// budget.mu must be held.
func (l *Lease) mustYield(n int64, since timer.Instant) bool {
	b := l.budget
	if b.held+n <= b.limit || b.grower != nil && b.grower != l {
		return false
	}
	return b.waiting+l.bytes+n > b.limit || b.timer.Now().Sub(since) >= minIdle
}

// endGrowth lets another response grow. mu must be held.
func (b *Budget) endGrowth(l *Lease) {
	if b.grower == l {
		b.grower = nil
	}
}

// victim is a holder that is cut, as it is logged.
type victim struct {
	id     string
	bytes  int64
	idle   time.Duration
	reason string
}

// makeRoom cuts holders, the one that is idle for the longest time first, until n bytes
// fit below limit once they have ended, or none is left that is idle for minIdle. b.mu
// must be held.
func (b *Budget) makeRoom(limit, n int64) []victim {
	var list []victim
	now := b.timer.Now()
	for b.held-b.cutting+n > limit {
		l := b.mostIdle(now)
		if l == nil {
			break
		}
		l.cut = true
		b.cutting += l.bytes
		l.conn.cut()
		list = append(list, victim{
			id:     l.id,
			bytes:  l.bytes,
			idle:   l.idle(now),
			reason: "memory",
		})
	}
	return list
}

// mostIdle returns the holder that has waited for its caller for the longest time and at
// least for minIdle, or nil; of several with the same time, the one that holds the most.
// Requests that hold nothing are left out, as cutting them makes no room. b.mu must be held.
func (b *Budget) mostIdle(now timer.Instant) *Lease {
	var most *Lease
	longest := minIdle
	for l := b.holders.next; l != &b.holders; l = l.next {
		if l.cut || l.conn == nil || l.bytes == 0 {
			continue
		}
		if idle := l.idle(now); idle > longest || idle == longest && (most == nil || l.bytes > most.bytes) {
			most, longest = l, idle
		}
	}
	return most
}

// idle returns how long the request has waited for its caller without progress.
func (l *Lease) idle(now timer.Instant) time.Duration {
	if !l.waiting.Load() {
		return 0
	}
	return now.Sub(timer.Instant(l.since.Load()))
}

// startWait notes that the request waits for its caller from now on.
func (l *Lease) startWait() {
	if l != nil {
		l.mark()
		l.waiting.Store(true)
	}
}

// endWait notes that the request no longer waits for its caller.
func (l *Lease) endWait() {
	if l != nil {
		l.waiting.Store(false)
	}
}

// progress notes that the caller took or sent n bytes.
func (l *Lease) progress(n int64) {
	if l != nil && l.waiting.Load() && l.moved.Add(n) >= progressBytes {
		l.mark()
	}
}

// mark begins a new period without progress.
func (l *Lease) mark() {
	l.moved.Store(0)
	l.since.Store(int64(l.budget.timer.Now()))
}

// logCuts counts and logs the holders that were cut.
func (b *Budget) logCuts(list []victim) {
	for _, v := range list {
		b.cuts.Add(1)
		b.journal.Decision("cut_slow_reader", log.Fields{
			"request_id": v.id,
			"bytes":      v.bytes,
			"idle_ms":    v.idle.Milliseconds(),
			"reason":     v.reason,
		})
	}
}
