package member

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/fleet/gossip"
	"github.com/egretbend/egretbend/internal/fleet/peer"
	"github.com/egretbend/egretbend/internal/kernel/part"
)

func init() {
	part.Register(part.Factory{
		Name:  "fleet.member",
		Stage: part.StageMember,
		Make:  makePart,
	})
}

// LoadSource holds the function that measures the load of this instance, which it
// reports to the others. Its zero value reports a load of 0.
type LoadSource struct {
	read atomic.Pointer[func() float64]
}

// Set sets the function that measures the load, from 0 to 1.
func (s *LoadSource) Set(read func() float64) { s.read.Store(&read) }

// Load returns the current load, from 0 to 1.
func (s *LoadSource) Load() float64 {
	read := s.read.Load()
	if read == nil {
		return 0
	}
	return (*read)()
}

// memberPart runs the exchanger, and marks this instance as leaving on Stop.
type memberPart struct {
	exchanger *Exchanger
	table     *Table
}

func makePart(h *part.Host) (part.Part, error) {
	state := &gossip.State{}
	table := &Table{
		State: state,
		Timer: h.Timer,
	}
	loadSource := &LoadSource{}
	table.Join(Member{
		ID:            h.Settings.Name,
		Incarnation:   uint64(time.Now().UnixMilli()),
		Address:       h.Settings.Listen,
		PeerAddress:   h.Settings.PeerListen,
		Region:        h.Settings.Region,
		FailureDomain: h.Settings.FailureDomain,
	})
	part.Provide(h, state)
	part.Provide(h, table)
	part.Provide(h, loadSource)
	h.Metrics.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "egretbend_members_alive",
		Help: "Instances that this one believes to be alive.",
	}, func() float64 { return float64(len(table.View().Alive)) }))
	server := part.MustGet[*peer.Server](h)
	err := server.Register("Gossip", &Receiver{
		Table:    table,
		SelfLoad: loadSource.Load,
	})
	return &memberPart{
		table: table,
		exchanger: &Exchanger{
			Table:    table,
			Client:   part.MustGet[*peer.Client](h),
			Timer:    h.Timer,
			Journal:  h.Journal,
			Rand:     rand.New(rand.NewPCG(h.Settings.Seed, 1)),
			Seeds:    h.Settings.Peers,
			SelfLoad: loadSource.Load,
		},
	}, err
}

// Start implements part.Part.
func (p *memberPart) Start(t *tomb.Tomb) error {
	t.Go(func() error { return p.exchanger.Run(t) })
	return nil
}

// Stop implements part.Part.
func (p *memberPart) Stop() { p.table.Leave() }
