package upstream

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/fleet/configuration"
	"github.com/egretbend/egretbend/internal/fleet/gossip"
	"github.com/egretbend/egretbend/internal/fleet/listing"
	"github.com/egretbend/egretbend/internal/fleet/member"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/engine"
)

// How the table is kept fresh.
const (
	// buildPeriod is how often due reports are asked for.
	buildPeriod = 250 * time.Millisecond
	// buildPause gathers the changes of a burst, such as the whole list at the
	// start, into one rebuild.
	buildPause = 50 * time.Millisecond
	// reportPeriod is the least time between two reports of one upstream.
	reportPeriod = time.Second
	// reportsPerSecond bounds the reports that one instance asks for, which
	// bounds what they cost however many upstreams it knows.
	reportsPerSecond = 16
	reportTimeout    = time.Second
	// reportsAtOnce bounds the reports that are waited for together.
	reportsAtOnce = 16
)

// Refresher rebuilds a table after changes and asks upstreams for reports.
type Refresher struct {
	Table   *Table
	Holder  *configuration.Holder
	Listing *listing.Book
	Members *member.Table
	Timer   timer.Service
	Engine  engine.Adapter

	revision uint64
	changes  uint64
	next     map[*Upstream]timer.Instant
}

// Run refreshes until t dies.
func (r *Refresher) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	tick := r.Timer.Every(buildPeriod)
	defer tick.Close()
	for {
		listed := r.Listing.State.Changed(gossip.KindUpstream)
		leaving := r.Listing.State.Changed(gossip.KindLeaving)
		configured := r.Holder.Changed()
		r.Refresh(r.Timer.Now())
		r.askReports(ctx)
		select {
		case <-tick.C:
		case <-listed:
			timer.Wait(r.Timer, buildPause, t.Dying())
		case <-leaving:
		case <-configured:
		case <-t.Dying():
			return nil
		}
	}
}

// Refresh rebuilds the table if the configuration or the list changed.
func (r *Refresher) Refresh(now timer.Instant) {
	doc := r.Holder.Current()
	if doc == nil {
		return
	}
	changes := r.Listing.Changes()
	if doc.Revision != r.revision || changes != r.changes {
		r.Table.Build(doc.Parsed(), r.Members.Self(), r.Listing.List(), now)
		r.revision = doc.Revision
		r.changes = changes
	}
	r.Table.Judge(now)
}

// askReports asks the upstreams whose report is due, the most overdue ones
// first come first served. Each upstream's moment is spread at random, so that
// the instances of a fleet don't all learn the same load at the same time.
func (r *Refresher) askReports(ctx context.Context) {
	due := r.due(r.Timer.Now())
	gate := make(chan struct{}, reportsAtOnce)
	var wg sync.WaitGroup
	for _, u := range due {
		gate <- struct{}{}
		wg.Go(func() {
			defer func() { <-gate }()
			r.ask(ctx, u)
		})
	}
	wg.Wait()
}

func (r *Refresher) due(now timer.Instant) []*Upstream {
	if r.next == nil {
		r.next = make(map[*Upstream]timer.Instant)
	}
	total := 0
	for _, s := range r.Table.Sets() {
		total += len(s.Upstreams)
	}
	period := max(reportPeriod, time.Duration(total)*time.Second/reportsPerSecond)
	seen := make(map[*Upstream]timer.Instant, total)
	var due []*Upstream
	for _, s := range r.Table.Sets() {
		for _, u := range s.Upstreams {
			at, known := r.next[u]
			if known && now < at {
				seen[u] = at
				continue
			}
			seen[u] = now.Add(jitter(period))
			// Answers bring reports along; an upstream in use is not asked.
			if _, age, ok := u.Report(now); !ok || age >= reportPeriod {
				due = append(due, u)
			}
		}
	}
	r.next = seen
	return due
}

// jitter spreads d by a quarter to both sides.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + rand.Float64()/2))
}

func (r *Refresher) ask(ctx context.Context, u *Upstream) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := r.Engine.Report(ctx, u.Address)
	if err != nil {
		return
	}
	u.Heard(report, r.Timer.Now())
	if report.Leaving {
		r.Listing.MarkLeaving(u.ID, u.Incarnation)
	}
}
