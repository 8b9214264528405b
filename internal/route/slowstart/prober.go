package slowstart

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/catalog"
)

const (
	// probeCheckInterval is how often due probes are looked for while there are any.
	probeCheckInterval = 100 * time.Millisecond
	// initialProbeDelay is the mean delay of the first probe. Each further one comes after
	// twice the delay, up to maxProbeDelay, since the whole fleet may probe one upstream.
	initialProbeDelay = 250 * time.Millisecond
	maxProbeDelay     = 8 * time.Second
	probeTimeout      = time.Second
	// maxProbes bounds the concurrent probes.
	maxProbes = 16
)

// HealthClient asks upstreams for their health.
type HealthClient interface {
	// Health requests the health path of an upstream, and records in its state what the
	// response says about its coldness. Without a path it only opens a connection.
	Health(ctx context.Context, u *catalog.Upstream, path string) error
}

// Prober asks upstreams whose connection was lost for their health. An instance without a share
// sends nothing else to them, so it would never learn that they did not restart.
type Prober struct {
	Upstreams *catalog.Upstreams
	Limiter   *Limiter
	Client    HealthClient
	Timer     timer.Service

	due map[*catalog.Upstream]probe
}

// probe is when an upstream is probed next, and the delay after that.
type probe struct {
	at    timer.Instant
	delay time.Duration
}

// Run probes upstreams until t dies.
func (p *Prober) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	for {
		select {
		case <-p.Upstreams.ConnectionLost.C():
		case <-t.Dying():
			return nil
		}
		for p.probeDue(ctx) {
			if !timer.Wait(p.Timer, probeCheckInterval, t.Dying()) {
				return nil
			}
		}
	}
}

// probeDue probes upstreams that are due, and reports whether there are any to probe later. It
// probes at most maxProbes of them, those with the fewest failed probes first: the timeouts of
// many upstreams that are gone must not hold up the probes of those that run.
func (p *Prober) probeDue(ctx context.Context) bool {
	now := p.Timer.Now()
	next := make(map[*catalog.Upstream]probe)
	var due []*catalog.Upstream
	for service, g := range p.Upstreams.Groups() {
		if _, ok := p.Limiter.Terms(service); !ok {
			continue
		}
		for _, u := range g.Upstreams {
			if !u.MayHaveRestarted() || u.Leaving() {
				continue
			}
			pr, known := p.due[u]
			if !known {
				pr = probe{at: now.Add(jitter(initialProbeDelay)), delay: initialProbeDelay}
			} else if now >= pr.at {
				due = append(due, u)
			}
			next[u] = pr
		}
	}
	slices.SortFunc(due, func(a, b *catalog.Upstream) int {
		return cmp.Or(cmp.Compare(next[a].delay, next[b].delay), cmp.Compare(next[a].at, next[b].at))
	})
	cfg := p.Limiter.Config.Current()
	var wg sync.WaitGroup
	for _, u := range due[:min(len(due), maxProbes)] {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			// A failure is followed by the next probe.
			_ = p.Client.Health(ctx, u, cfg.Services[u.Listed().Service].HealthPath)
		})
		delay := min(2*next[u].delay, maxProbeDelay)
		next[u] = probe{at: now.Add(jitter(delay)), delay: delay}
	}
	wg.Wait()
	p.due = next
	return len(next) > 0
}

// jitter returns a random duration between half of d and one and a half times d.
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}
