package crashnotice

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
	"github.com/egretbend/egretbend/internal/route/poison"
)

func init() {
	part.Register(part.Factory{
		Name:  "fleet.bulletin",
		Stage: part.StageFleet,
		Make:  makePart,
	})
}

// crashNoticePart is the part that runs a Board and its Listener.
type crashNoticePart struct {
	board    *Board
	listener Listener
}

func makePart(h *part.Host) (part.Part, error) {
	state := part.MustGet[*gossip.State](h)
	members := part.MustGet[*member.Table](h)
	fleetSecret := &secret.GossipSecret{
		State: state,
	}
	self := members.Self()
	key := fmt.Sprintf("%s/%d", self.ID, self.Incarnation)
	board := &Board{
		Secret: fleetSecret,
		Key:    key,
		Publisher: &GossipPublisher{
			State: state,
			Key:   key,
		},
		InstanceCount: func() int { return len(members.View().Alive) },
		RunsTrial: func(p fingerprint.Fingerprint) bool {
			top := members.View().Top(p.String(), 1)
			return len(top) == 1 && top[0].ID == self.ID
		},
		Timer:   h.Timer,
		Journal: h.Journal,
		Metrics: NewMetrics(h.Metrics),
	}
	part.Provide(h, board)
	part.Provide(h, &crash.Reporter{
		Secret:  fleetSecret,
		Timer:   h.Timer,
		Journal: h.Journal,
		Metrics: crash.NewMetrics(h.Metrics),
		OnCrash: board.ReportCrash,
	})
	return &crashNoticePart{
		board: board,
		listener: Listener{
			State: state,
			Board: board,
		},
	}, nil
}

// Start implements part.Part.
func (p *crashNoticePart) Start(t *tomb.Tomb) error {
	t.Go(func() error { return p.board.Run(t) })
	t.Go(func() error { return p.listener.Run(t) })
	return nil
}

// Stop implements part.Part.
func (p *crashNoticePart) Stop() {}

// ReportCrash records a crash that a crash.Reporter found, and returns the log fields for it.
func (b *Board) ReportCrash(c crash.Cut, f fingerprint.Fingerprint) log.Fields {
	return b.RecordCrash(poison.Crash{
		Incarnation: c.Incarnation,
		Fingerprint: f,
		At:          c.At,
		Consecutive: c.Consecutive,
	}).Fields()
}
