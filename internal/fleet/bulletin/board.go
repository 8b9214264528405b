package bulletin

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/egretbend/egretbend/internal/kernel/journal"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/kernel/wake"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
	"github.com/egretbend/egretbend/internal/route/fingerprint"
	"github.com/egretbend/egretbend/internal/route/suspect"
)

// Secret is what prints are made with.
type Secret interface {
	// Known returns the secret, or nil as long as it is not known.
	Known() []byte
}

// Poster makes known to all instances what this one tells.
type Poster interface {
	Post(ctx context.Context, value []byte) error
	// Renew keeps alive what was told last.
	Renew(ctx context.Context) error
}

// Board is what this instance knows of crashes, and tells of them.
type Board struct {
	Secret Secret
	Poster Poster
	// Key is where this incarnation of the instance tells what it has seen.
	Key string
	// Instances returns how many there are.
	Instances func() int
	// Chosen reports whether this is the instance that tries a request again; nil means
	// that it never is.
	Chosen  func(p fingerprint.Print) bool
	Timer   timer.Service
	Journal *journal.Journal
	Metrics *Metrics

	// some is set while anything is known, so that a request costs nothing else.
	some atomic.Bool
	wake wake.Signal

	mu       sync.Mutex
	evidence suspect.Evidence
	// own is what this instance has seen, in order. over says that the key holds something
	// that is not among it any more.
	own  []notice
	over bool
	// tried is when this instance tried a convicted request last.
	tried map[fingerprint.Print]timer.Instant
	// pace bounds the writes of the key.
	pace pace
}

// Judge decides about a request. sum is called only if anything is known.
func (b *Board) Judge(sum func() fingerprint.Sum) suspect.Verdict {
	if !b.some.Load() {
		return suspect.Verdict{}
	}
	secret := b.Secret.Known()
	if secret == nil {
		return suspect.Verdict{}
	}
	print := sum().Under(secret)
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Timer.Now()
	v := b.evidence.Judge(print, now)
	if v.Trial && !b.mayTry(print, now) {
		v.RetryAfter = untilTried
	}
	return v
}

const (
	// tryEvery is how long a trial of a convicted request may take before the next one.
	tryEvery = 5 * time.Second
	// untilTried is when callers come back that met another instance than the chosen one,
	// or one that has a trial under way.
	untilTried = 10 * time.Second
)

// mayTry reports whether this instance lets a convicted request run once, to see whether
// upstreams still end under it. The lock is held.
func (b *Board) mayTry(p fingerprint.Print, now timer.Instant) bool {
	if at, ok := b.tried[p]; ok && now.Sub(at) < tryEvery || b.Chosen == nil || !b.Chosen(p) {
		return false
	}
	if b.tried == nil {
		b.tried = make(map[fingerprint.Print]timer.Instant)
	}
	b.tried[p] = now
	return true
}

// Ended takes it that an upstream ended under a request, and returns what that makes
// of the request.
func (b *Board) Ended(c suspect.Crash) suspect.Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Timer.Now()
	if b.evidence.Add(c) {
		b.keep(notice{
			Print:    c.Print,
			Upstream: c.Incarnation,
			Row:      c.Row,
			at:       c.At,
		})
		b.changed()
	}
	b.Metrics.known(b.evidence.Len(), b.evidence.Guilty())
	return b.evidence.Judge(c.Print, now)
}

// Answered takes it that a request ran to its end. sum is called only if anything is
// known.
func (b *Board) Answered(sum func() fingerprint.Sum) {
	if !b.some.Load() {
		return
	}
	secret := b.Secret.Known()
	if secret == nil {
		return
	}
	print := sum().Under(secret)
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Timer.Now()
	known := b.evidence.Ends(print)
	if known == 0 {
		return
	}
	b.evidence.Clear(print, now)
	delete(b.tried, print)
	untold := 0
	b.own = slices.DeleteFunc(b.own, func(n notice) bool {
		if n.Print == print && !n.told {
			untold++
		}
		return n.Print == print
	})
	if known > untold {
		b.keep(notice{
			Print: print,
			at:    now,
		})
	}
	b.changed()
}

// keep keeps what this instance has seen, the newest of it. The lock is held.
func (b *Board) keep(n notice) {
	b.own = append(b.own, n)
	if over := len(b.own) - maxNotices; over > 0 {
		b.own = slices.Delete(b.own, 0, over)
		b.Metrics.forgotten(over)
	}
	b.wake.Set()
}

// changed notes whether anything is known now. The lock is held.
func (b *Board) changed() { b.some.Store(!b.evidence.Empty()) }

// Take takes what instances tell.
func (b *Board) Take(changes []keyvalue.Change) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Timer.Now()
	for _, c := range changes {
		if c.Key == b.Key {
			b.takeOwn(c)
			continue
		}
		if c.Removed {
			// What was told holds until it is too old.
			continue
		}
		notices, err := decode(c.Value, now)
		if err != nil {
			b.Journal.Trouble("notices of crashes not understood", err, log.Fields{
				"key": c.Key,
			})
			continue
		}
		for _, n := range notices {
			if n.Upstream == "" {
				b.evidence.Clear(n.Print, n.at)
				continue
			}
			b.evidence.Add(n.crash())
		}
	}
	b.changed()
}

// takeOwn looks at a change of this instance's key. The lock is held.
func (b *Board) takeOwn(c keyvalue.Change) {
	if !c.Removed || len(b.own) == 0 {
		return
	}
	// Its lease has run out, as it may while the service is away.
	for i := range b.own {
		b.own[i].told = false
	}
	b.wake.Set()
}
