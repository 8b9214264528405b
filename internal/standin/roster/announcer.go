package roster

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/roster"
)

const announcePeriod = time.Second

// Announcer tells a list about an upstream again and again.
type Announcer struct {
	Roster string
	Timer  timer.Service
	// Current returns the upstream as it is now, and whether it is up.
	Current func() (roster.Instance, bool)
}

// Run announces until t dies.
func (a *Announcer) Run(t *tomb.Tomb) error {
	tick := a.Timer.Every(announcePeriod)
	defer tick.Close()
	for {
		if in, up := a.Current(); up {
			a.announce(t.Context(context.Background()), in)
		}
		select {
		case <-tick.C:
		case <-t.Dying():
			return nil
		}
	}
}

func (a *Announcer) announce(ctx context.Context, in roster.Instance) {
	body, err := json.Marshal(in)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, announcePeriod)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.Roster+PathAnnounce, bytes.NewReader(body))
	if err != nil {
		return
	}
	if res, err := http.DefaultClient.Do(req); err == nil {
		_ = res.Body.Close()
	}
}
