package bulletin

import (
	"fmt"

	"github.com/apex/log"
	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/fleet/gossip"
	"github.com/egretbend/egretbend/internal/fleet/member"
	"github.com/egretbend/egretbend/internal/fleet/secret"
	"github.com/egretbend/egretbend/internal/kernel/part"
	"github.com/egretbend/egretbend/internal/route/crash"
	"github.com/egretbend/egretbend/internal/route/fingerprint"
	"github.com/egretbend/egretbend/internal/route/suspect"
)

func init() {
	part.Register(part.Factory{
		Name:  "fleet.bulletin",
		Stage: part.StageFleet,
		Make:  makePart,
	})
}

// bulletinPart runs a Board and its Listener as a part of the process.
type bulletinPart struct {
	board    *Board
	listener Listener
}

func makePart(h *part.Host) (part.Part, error) {
	state := part.Get[*gossip.State](h)
	members := part.Get[*member.Table](h)
	keeper := &secret.Gossip{
		State: state,
	}
	self := members.Self()
	key := fmt.Sprintf("%s/%d", self.ID, self.Incarnation)
	board := &Board{
		Secret: keeper,
		Key:    key,
		Poster: &Gossip{
			State: state,
			Key:   key,
		},
		Instances: func() int { return len(members.View().Alive) },
		Chosen: func(p fingerprint.Print) bool {
			top := members.View().Top(p.String(), 1)
			return len(top) == 1 && top[0].ID == self.ID
		},
		Timer:   h.Timer,
		Journal: h.Journal,
		Metrics: NewMetrics(h.Metrics),
	}
	part.Put(h, board)
	part.Put(h, &crash.Reporter{
		Secret:  keeper,
		Timer:   h.Timer,
		Journal: h.Journal,
		Metrics: crash.NewMetrics(h.Metrics),
		Ended:   board.Report,
	})
	return &bulletinPart{
		board: board,
		listener: Listener{
			State: state,
			Board: board,
		},
	}, nil
}

// Start implements part.Part.
func (p *bulletinPart) Start(t *tomb.Tomb) error {
	t.Go(func() error { return p.board.Run(t) })
	t.Go(func() error { return p.listener.Run(t) })
	return nil
}

// Stop implements part.Part.
func (p *bulletinPart) Stop() {}

// Report records a crash that a crash.Reporter found, and returns the log fields for it.
func (b *Board) Report(c crash.Cut, print fingerprint.Print) log.Fields {
	return b.Ended(suspect.Crash{
		Incarnation: c.Incarnation,
		Print:       print,
		At:          c.At,
		Row:         c.Row,
	}).Fields()
}
