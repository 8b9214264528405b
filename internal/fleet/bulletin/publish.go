package bulletin

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"
	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// The times of a board.
const (
	// gather is how long to wait before a write. Most requests that an upstream ended
	// under are answered by another one meanwhile, and are not told of.
	gather = 150 * time.Millisecond
	// expireEvery is how often what is over is forgotten.
	expireEvery = 10 * time.Second
	// keepsAnswered is for how long others are told that a request was answered.
	keepsAnswered = time.Minute
	// callTimeout bounds a call of the service, retryPause is the pause after one that
	// failed.
	callTimeout = 2 * time.Second
	retryPause  = 500 * time.Millisecond
)

// The rate of writes.
const (
	// burst is how many writes an instance makes at once.
	burst = 3
	// leastPause and pauseEach make its pause between further ones: the writes of all
	// instances together must leave the service room for others.
	leastPause = 250 * time.Millisecond
	pauseEach  = 20 * time.Millisecond
)

// pace is a token bucket for writes.
type pace struct {
	spent float64
	at    timer.Instant
}

// wait returns how long the next write has to wait among so many instances, and takes
// it. The caller then waits.
func (p *pace) wait(now timer.Instant, instances int) time.Duration {
	each := max(leastPause, time.Duration(instances)*pauseEach)
	p.spent = max(0, p.spent-float64(now.Sub(p.at))/float64(each))
	p.at = now
	p.spent++
	return time.Duration(max(0, p.spent-burst) * float64(each))
}

// Run tells the others until t dies.
func (b *Board) Run(t *tomb.Tomb) error {
	ticks := b.Timer.Every(expireEvery)
	defer ticks.Close()
	ctx := t.Context(context.Background())
	for {
		select {
		case <-b.wake.C():
			b.tell(ctx, t)
		case <-ticks.C:
			b.expire(ctx)
		case <-t.Dying():
			return nil
		}
	}
}

// tell writes what is not told yet.
func (b *Board) tell(ctx context.Context, t *tomb.Tomb) {
	timer.Wait(b.Timer, gather, t.Dying())
	if !b.untold() {
		return
	}
	timer.Wait(b.Timer, b.pace.wait(b.Timer.Now(), b.Instances()), t.Dying())
	if !t.Alive() {
		return
	}
	if err := b.write(ctx); err != nil && t.Alive() {
		b.Metrics.told("failed")
		b.Journal.Trouble("notices of crashes not told", err, log.Fields{})
		timer.Wait(b.Timer, retryPause, t.Dying())
		b.wake.Set()
		return
	}
	b.Metrics.told("done")
}

func (b *Board) untold() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.over || slices.ContainsFunc(b.own, func(n notice) bool { return !n.told })
}

// write writes the key.
func (b *Board) write(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	b.mu.Lock()
	sent := slices.Clone(b.own)
	b.mu.Unlock()
	value, err := encode(sent, b.Timer.Now())
	if err != nil {
		return err
	}
	if err := b.Poster.Post(ctx, value); err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.over = false
	for i := range b.own {
		b.own[i].told = b.own[i].told || slices.ContainsFunc(sent, b.own[i].same)
	}
	return nil
}

// same reports whether two notices are one.
func (n notice) same(o notice) bool {
	return n.Print == o.Print && n.Upstream == o.Upstream && n.at == o.at
}

// expire forgets what is over, and keeps the key alive while there is anything to tell.
func (b *Board) expire(ctx context.Context) {
	b.mu.Lock()
	now := b.Timer.Now()
	if b.evidence.Expire(now) {
		b.Journal.Decision("crashes_forgotten", log.Fields{
			"known": b.evidence.Len(),
		})
	}
	b.own = slices.DeleteFunc(b.own, func(n notice) bool {
		if n.Upstream == "" {
			return now.Sub(n.at) >= keepsAnswered
		}
		over := !b.evidence.Judge(n.Print, now).Suspects()
		if over && n.told {
			// An instance that starts would take it for news.
			b.over = true
			b.wake.Set()
		}
		return over
	})
	for print, at := range b.tried {
		if now.Sub(at) >= tryEvery {
			delete(b.tried, print)
		}
	}
	b.changed()
	b.Metrics.known(b.evidence.Len(), b.evidence.Guilty())
	idle := len(b.own) == 0
	b.mu.Unlock()
	if idle {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := b.Poster.Renew(ctx); err != nil {
		b.Journal.Trouble("notices of crashes not renewed", err, log.Fields{})
	}
}
