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

// announcePeriod is the time between two announcements, and the timeout of each.
const announcePeriod = time.Second

// Announcer periodically announces an upstream to a Server.
type Announcer struct {
	// Roster is the address of the Server.
	Roster string
	Timer  timer.Service
	// Current returns the present state of the upstream, and whether it is up.
	// An upstream that is down is not announced.
	Current func() (roster.Instance, bool)
}

// Run announces the upstream until t is dying.
func (a *Announcer) Run(t *tomb.Tomb) error {
	tick := a.Timer.Every(announcePeriod)
	defer tick.Close()
	for {
		if instance, up := a.Current(); up {
			a.announce(t.Context(context.Background()), instance)
		}
		select {
		case <-tick.C:
		case <-t.Dying():
			return nil
		}
	}
}

// announce sends one announcement. Errors are ignored; the next one follows
// after announcePeriod.
func (a *Announcer) announce(ctx context.Context, instance roster.Instance) {
	body, err := json.Marshal(instance)
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
