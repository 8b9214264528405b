package weights

import (
	"maps"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

const (
	// workLasts is how long after a step was asked for its model counts as at
	// work: its trainer asks for the next one within that time.
	workLasts = 10 * time.Second
	// divideEvery is how long a division of the engines is used.
	divideEvery = 100 * time.Millisecond
)

// divided is a division of the engines of one service.
type divided struct {
	at   timer.Instant
	sure bool
	sets map[string]string
}

// Asked tells of a step and its work in tokens.
func (o *Orderer) Asked(model string, tokens int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.demand = o.demand.with(model, float64(tokens))
	if o.asked == nil {
		o.asked = make(map[string]timer.Instant)
	}
	o.asked[model] = o.Timer.Now()
}

// Sets returns the model that each engine of a service is for while several
// models are at work, by the engine's id. It is nil while one model alone is, and
// its engines are for all. The division is a function of the list of engines and of
// the steps that were asked for, so that all instances come to nearly the same one
// without asking each other. sure says that the news of all steps has come by now;
// without it all configured models count as at work, since steps of several trainers
// begin at the same moment.
func (o *Orderer) Sets(service string, sure bool) map[string]string {
	cfg := o.Config.Current()
	if cfg == nil || cfg.Services[service].Engine == nil {
		return nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Timer.Now()
	if d, ok := o.divided[service]; ok && d.sure == sure && now.Sub(d.at) < divideEvery {
		return d.sets
	}
	models := cfg.Services[service].Engine.Models
	if sure {
		models = o.atWork(models, now)
	}
	d := divided{
		at:   now,
		sure: sure,
	}
	if len(models) > 1 {
		d.sets = o.divide(service, models)
	}
	if o.divided == nil {
		o.divided = make(map[string]divided)
	}
	o.divided[service] = d
	return d.sets
}

// atWork returns the models whose steps were asked for lately. The lock is held.
func (o *Orderer) atWork(models []string, now timer.Instant) []string {
	var list []string
	for _, m := range models {
		if at, ok := o.asked[m]; ok && now.Sub(at) < workLasts {
			list = append(list, m)
		}
	}
	return list
}

// divide assigns the listed engines to models. The lock is held.
func (o *Orderer) divide(service string, models []string) map[string]string {
	var engines []Engine
	// Versions that were named are followed where orders are given; everywhere
	// else the newest ones that engines have stand in for them.
	named := maps.Clone(o.named)
	if named == nil {
		named = make(map[string]uint64)
	}
	for _, u := range o.Book.Group(service).Upstreams {
		if u.Leaving() {
			continue
		}
		versions := u.Listed().Versions
		for _, m := range models {
			named[m] = max(named[m], versions[m])
		}
		engines = append(engines, Engine{
			ID:       u.ID,
			Versions: versions,
		})
	}
	return Assign(engines, models, named, o.demand)
}
