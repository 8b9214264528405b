package evacuation

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/kernel/journal"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/engine"
)

const (
	// ticksPerLimit is how often the guard records that the process runs within
	// PauseGuard.Limit.
	ticksPerLimit = 5
	// refreshTimeout bounds one reading of the set, refreshPause is the pause after one that
	// failed.
	refreshTimeout = 2 * time.Second
	refreshPause   = 100 * time.Millisecond
	// maxRefreshes is how often the set is read after a pause. If the service can't be read, the
	// last known set holds, as it does without a pause.
	maxRefreshes = 5
)

// PauseGuard withholds requests after a pause of the process. The domains that were evacuated
// meanwhile are not known then, and what the process receives first was sent before the pause.
type PauseGuard struct {
	// Limit is the shortest pause after which requests are withheld.
	Limit time.Duration
	// Refresh reads the evacuated domains and applies them.
	Refresh func(ctx context.Context) error
	Timer   timer.Service
	Journal *journal.Journal

	lastTick atomic.Int64
	// pauses counts the pauses, and cleared those after which the set was read.
	pauses, cleared atomic.Int64
}

// Check returns an error that wraps engine.ErrWithdrawn while requests are withheld.
func (g *PauseGuard) Check() error {
	paused := g.Timer.Now().Sub(timer.Instant(g.lastTick.Load())) >= g.Limit
	if paused || g.cleared.Load() < g.pauses.Load() {
		return fmt.Errorf("%w: the process was paused and reads which failure domains are evacuated", engine.ErrWithdrawn)
	}
	return nil
}

// Run detects pauses until t dies.
func (g *PauseGuard) Run(t *tomb.Tomb) error {
	ticker := g.Timer.Every(g.Limit / ticksPerLimit)
	defer ticker.Close()
	g.lastTick.Store(int64(g.Timer.Now()))
	for {
		select {
		case <-ticker.C:
		case <-t.Dying():
			return nil
		}
		now := g.Timer.Now()
		if pause := now.Sub(timer.Instant(g.lastTick.Load())); pause >= g.Limit {
			// Requests are withheld before lastTick shows that the process runs again.
			n := g.pauses.Add(1)
			t.Go(func() error { return g.refresh(t, n, pause) })
		}
		g.lastTick.Store(int64(now))
	}
}

// refresh reads the set after pause number n and ends the withholding, unless another pause
// followed.
func (g *PauseGuard) refresh(t *tomb.Tomb, n int64, pause time.Duration) error {
	var err error
	for range maxRefreshes {
		ctx, cancel := context.WithTimeout(t.Context(context.Background()), refreshTimeout)
		err = g.Refresh(ctx)
		cancel()
		if err == nil || !timer.Wait(g.Timer, refreshPause, t.Dying()) {
			break
		}
	}
	for cleared := g.cleared.Load(); cleared < n && !g.cleared.CompareAndSwap(cleared, n); {
		cleared = g.cleared.Load()
	}
	fields := log.Fields{
		"pause_ms": pause.Milliseconds(),
	}
	if err != nil {
		g.Journal.Warn("paused; could not read which failure domains are evacuated, the last known ones are", err, fields)
		return nil
	}
	g.Journal.Info("paused; read which failure domains are evacuated", fields)
	return nil
}
