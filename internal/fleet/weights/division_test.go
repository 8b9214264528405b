package weights

import (
	"fmt"
	"maps"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/catalog"
)

// divisionLoad is a load of trainers: each model's step has a number of groups, and all
// groups have the same size and work.
type divisionLoad struct {
	engines, slots, groupSize int
	groups                    []int
}

func (l divisionLoad) models() []string {
	var models []string
	for i := range l.groups {
		models = append(models, fmt.Sprintf("m%d", i))
	}
	return models
}

// divisionReplay replays steps at one instance that also gives the orders.
type divisionReplay struct {
	load     divisionLoad
	orderer  *Orderer
	clock    *timer.Manual
	versions map[string]map[string]uint64 // by engine and model
	latest   map[string]uint64
}

func newDivisionReplay(l divisionLoad) *divisionReplay {
	clock := &timer.Manual{}
	clock.Advance(time.Hour)
	r := &divisionReplay{
		load:  l,
		clock: clock,
		orderer: &Orderer{
			Upstreams: &catalog.Upstreams{Timer: clock},
			Config:    &catalog.Holder{},
			Timer:     clock,
		},
		versions: make(map[string]map[string]uint64),
		latest:   make(map[string]uint64),
	}
	r.orderer.Config.Update(catalog.Configuration{
		Version:  1,
		Services: map[string]catalog.Service{"s": {Engine: &catalog.Engine{Models: l.models()}}},
	}.WithIndex())
	for _, m := range l.models() {
		r.latest[m] = 1
	}
	for n := range l.engines {
		id := fmt.Sprintf("e%02d", n)
		r.versions[id] = make(map[string]uint64)
		maps.Copy(r.versions[id], r.latest)
	}
	r.list()
	return r
}

// list updates the listed engines.
func (r *divisionReplay) list() {
	var entries []catalog.Entry
	for id, versions := range r.versions {
		entries = append(entries, catalog.Entry{ID: id, Service: "s", Slots: r.load.slots, Versions: maps.Clone(versions)})
	}
	r.orderer.Upstreams.Update(entries, nil)
}

// round requests one step of each model, of the given groups, and then publishes and
// loads the next versions.
func (r *divisionReplay) round(groups []int) map[string]string {
	for i, m := range r.load.models() {
		r.orderer.StepRequested(m, groups[i]*r.load.groupSize, int64(groups[i])*tokensPerGroup)
	}
	r.clock.Advance(3 * time.Second)
	r.assignment()
	for _, m := range r.load.models() {
		r.latest[m]++
		r.orderer.VersionPublished(m, r.latest[m])
	}
	r.clock.Advance(assignmentTTL)
	for id, m := range r.assignment() {
		r.versions[id][m] = r.latest[m]
	}
	r.list()
	r.clock.Advance(3 * time.Second)
	return r.assignment()
}

func (r *divisionReplay) assignment() map[string]string {
	return r.orderer.ModelsByEngine("s", true)
}

// before returns the assignment for the same inputs without the division by need.
func (r *divisionReplay) before() map[string]string {
	return Assign(r.engineList(), r.load.models(), r.latest, r.orderer.demand)
}

func (r *divisionReplay) engineList() []Engine {
	var engines []Engine
	for id, versions := range r.versions {
		engines = append(engines, newEngine(id, 0, versions))
	}
	return engines
}

// ends returns the time of each model's step relative to the time that all work takes on
// all engines: its fraction of the work divided by its fraction of the engines.
func (l divisionLoad) ends(assignment map[string]string) []float64 {
	total := 0
	for _, g := range l.groups {
		total += g
	}
	var ends []float64
	sizes := setSizes(assignment)
	for i, m := range l.models() {
		ends = append(ends, float64(l.groups[i])/float64(total)*float64(len(assignment))/float64(sizes[m]))
	}
	return ends
}
