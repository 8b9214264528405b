package runner

import (
	"github.com/apex/log"

	"github.com/egretbend/egretbend/internal/batch/submission"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/catalog"
	"github.com/egretbend/egretbend/internal/route/residency"
)

// applyConfiguration looks up what of the configuration in force applies to a batch that runs. The
// caller holds b.mu.
func (r *Runner) applyConfiguration(b *Batch) {
	cfg := r.Configuration.Current()
	if cfg == b.cfg && cfg != nil {
		return
	}
	b.cfg = cfg
	b.regions = b.sub.Binding().Allowed(cfg)
	b.singleVersion = b.route.SingleVersion
	if cfg != nil {
		route, _ := cfg.Find(b.sub.Host, b.sub.Path)
		b.singleVersion = b.singleVersion || route.SingleVersion
	}
}

// allowedRegions returns the regions in which the items of a batch may run now. The caller
// holds b.mu.
func (r *Runner) allowedRegions(b *Batch) residency.Regions {
	r.applyConfiguration(b)
	return b.regions
}

// needsSingleVersion reports whether a text of a batch must have a single version: its route
// required that when the batch began here, or does so now. The caller holds b.mu.
func (r *Runner) needsSingleVersion(b *Batch) bool {
	r.applyConfiguration(b)
	return b.singleVersion
}

// engineGroup returns the engines that may run the items of a batch. The caller holds b.mu.
func (r *Runner) engineGroup(b *Batch) *catalog.Group {
	return r.Upstreams.Group(b.service).In(r.allowedRegions(b))
}

// moveOutOfRegions moves the streams that run in regions that are no longer allowed. They wait
// if no engine may run them. The caller holds b.mu.
func (r *Runner) moveOutOfRegions(b *Batch, now timer.Instant) {
	regions := r.allowedRegions(b)
	if !regions.Restricted() {
		return
	}
	medianPace := r.medianPace(b)
	for _, t := range b.tasks {
		if t.phase == running && !t.moving && !regions.Allows(t.upstream.Listed().Region) {
			t.stalled = false
			r.moveItem(b, t, r.progressOf(t, medianPace, 0, now), medianPace, "not allowed in "+regions.String(), "region")
		}
	}
}

// Bindings returns what determines the regions of the open batches, by batch.
func (r *Runner) Bindings() map[string]submission.Binding {
	bindings := make(map[string]submission.Binding)
	for _, b := range r.allBatches() {
		b.mu.Lock()
		if b.replicated() {
			bindings[b.sub.ID] = b.sub.Binding()
		}
		b.mu.Unlock()
	}
	return bindings
}

// DropUnstored drops the batches that run here without being stored and that allows reports
// false for.
func (r *Runner) DropUnstored(allows func(submission.Binding) bool, cause error) {
	for _, b := range r.allBatches() {
		b.mu.Lock()
		drop := b.unstored && !b.over() && !allows(b.sub.Binding())
		b.mu.Unlock()
		if drop {
			r.Drop(b.sub.ID, cause)
		}
	}
}

// RefuseBatch logs and counts a batch that is refused because of the regions in which it may
// run.
func (r *Runner) RefuseBatch(sub *submission.Submission, regions residency.Regions, reason string, cause error) {
	r.Metrics.batchRefused(reason)
	r.Journal.Decision("refuse", log.Fields{
		"request_id":   sub.ID,
		"organisation": sub.Organisation,
		"regions":      regions.String(),
		"reason":       reason,
		"error":        cause.Error(),
	})
}
