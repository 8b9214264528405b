package upstream

import (
	"context"
	"math/rand/v2"
	"slices"
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

// Intervals and limits of a Refresher.
const (
	// refreshPeriod is the interval at which due reports are requested.
	refreshPeriod = 250 * time.Millisecond
	// rebuildDelay lets a burst of changes, such as the whole list at startup, result in one
	// rebuild.
	rebuildDelay = 50 * time.Millisecond
	// reportPeriod is the minimum interval between two requests for a report of one upstream.
	reportPeriod = time.Second
	// reportsPerSecond bounds the rate at which one instance requests reports, and so their
	// cost, however many upstreams it knows.
	reportsPerSecond = 16
	reportTimeout    = time.Second
	// maxConcurrentReports bounds the concurrent requests for reports.
	maxConcurrentReports = 16
)

// Refresher rebuilds a Table after changes and requests load reports from upstreams.
type Refresher struct {
	Table         *Table
	Configuration *configuration.Holder
	Listing       *listing.Table
	Members       *member.Table
	Timer         timer.Service
	Engine        engine.Adapter

	// revision and listingChanges identify the configuration and the list of the last rebuild.
	revision       uint64
	listingChanges uint64
	// nextReport is the time at which the next report of each upstream is due.
	nextReport map[*Upstream]timer.Instant
}

// Run refreshes the table until t is dying.
func (r *Refresher) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	tick := r.Timer.Every(refreshPeriod)
	defer tick.Close()
	for {
		listed := r.Listing.State.Changed(gossip.KindUpstream)
		leaving := r.Listing.State.Changed(gossip.KindLeaving)
		configured := r.Configuration.Changed()
		r.Refresh(r.Timer.Now())
		r.fetchDueReports(ctx)
		select {
		case <-tick.C:
		case <-listed:
			timer.Wait(r.Timer, rebuildDelay, t.Dying())
		case <-leaving:
		case <-configured:
		case <-t.Dying():
			return nil
		}
	}
}

// Refresh rebuilds the table if the configuration or the list changed.
func (r *Refresher) Refresh(now timer.Instant) {
	doc := r.Configuration.Current()
	if doc == nil {
		return
	}
	changes := r.Listing.Changes()
	regionsChanged := false
	if doc.Parsed().Restricted() {
		view := r.Members.View()
		regionsChanged = r.Table.SetRegions(domainRegions(append(slices.Clone(view.Known), view.Self)))
	}
	if doc.Revision != r.revision || changes != r.listingChanges || regionsChanged {
		r.Table.Build(doc.Parsed(), r.Members.Self(), r.Listing.List(), now)
		r.revision = doc.Revision
		r.listingChanges = changes
	}
	r.Table.DetectOutliers(now)
}

// fetchDueReports requests the reports that are due, and waits for them.
func (r *Refresher) fetchDueReports(ctx context.Context) {
	due := r.dueUpstreams(r.Timer.Now())
	semaphore := make(chan struct{}, maxConcurrentReports)
	var wg sync.WaitGroup
	for _, u := range due {
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			r.fetchReport(ctx, u)
		})
	}
	wg.Wait()
}

// dueUpstreams returns the upstreams whose report is due, and schedules their next one. Each
// time is jittered, so that the instances of a fleet don't all see the same load at the same
// time.
func (r *Refresher) dueUpstreams(now timer.Instant) []*Upstream {
	if r.nextReport == nil {
		r.nextReport = make(map[*Upstream]timer.Instant)
	}
	total := 0
	for _, s := range r.Table.Sets() {
		total += len(s.Upstreams)
	}
	period := max(reportPeriod, time.Duration(total)*time.Second/reportsPerSecond)
	next := make(map[*Upstream]timer.Instant, total)
	var due []*Upstream
	for _, s := range r.Table.Sets() {
		for _, u := range s.Upstreams {
			at, known := r.nextReport[u]
			if known && now < at {
				next[u] = at
				continue
			}
			next[u] = now.Add(jitter(period))
			// Answers carry reports too, so an upstream in use needs no request.
			if _, age, ok := u.Report(now); !ok || age >= reportPeriod {
				due = append(due, u)
			}
		}
	}
	r.nextReport = next
	return due
}

// jitter returns a random duration within a quarter of d around d.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + rand.Float64()/2))
}

// fetchReport requests the report of one upstream. A failure is ignored: the next report is due
// after the usual period.
func (r *Refresher) fetchReport(ctx context.Context, u *Upstream) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := r.Engine.Report(ctx, u.Address)
	if err != nil {
		return
	}
	u.RecordReport(report, r.Timer.Now())
	if report.Leaving {
		r.Listing.MarkLeaving(u.ID, u.Incarnation)
	}
}
