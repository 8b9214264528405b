package router

import (
	"time"

	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/route/residency"
	"github.com/egretbend/egretbend/internal/route/upstream"
)

const (
	// regionsEmptyRetryAfter is for requests that no region may serve until an operator has
	// changed the configuration, regionRetryAfter for those without an upstream in an allowed
	// region.
	regionsEmptyRetryAfter = 5 * time.Second
	regionRetryAfter       = time.Second
)

// allowedRegions returns the regions in which a request may be served, by the configuration in
// force.
func (r *Router) allowedRegions(req Request) residency.Regions {
	doc := r.Configuration.Current()
	d, _ := doc.Parsed().Deployment(req.Deployment)
	return d.Regions().Intersect(doc.Organisations().Regions(req.Organisation))
}

// allowedPart returns the part of the set of a deployment in the regions in which a request may
// be served. It returns an error if that is empty because of the regions.
func (r *Router) allowedPart(req Request, set *upstream.Set) (*upstream.Set, error) {
	if !r.Configuration.Current().Parsed().Restricted() {
		return set, nil
	}
	regions := r.allowedRegions(req)
	part := set.In(regions)
	switch {
	case !regions.Restricted() || len(part.Upstreams) > 0:
		return part, nil
	case regions.Empty():
		return nil, problem.RegionsEmpty.Withf("deployment %q and organisation %q allow no region in common", req.Deployment, req.Organisation).
			WithRetryAfter(regionsEmptyRetryAfter)
	}
	return nil, problem.RegionUnavailable.Withf("no upstream of deployment %q is in an allowed region (%s)", req.Deployment, regions).
		WithRetryAfter(regionRetryAfter)
}

// updateRegions applies a configuration that changed since the request was admitted to the choice
// of its next upstream.
func (d *Dispatch) updateRegions() error {
	doc := d.router.Configuration.Current()
	if doc == nil || !doc.Parsed().Restricted() {
		return nil
	}
	set := d.router.Table.Set(d.Request.Deployment)
	if set == nil {
		return nil
	}
	part, err := d.router.allowedPart(d.Request, set)
	if err == nil {
		d.Set = part
	}
	return err
}
