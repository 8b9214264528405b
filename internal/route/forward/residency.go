package forward

import (
	"math/rand/v2"
	"net/url"
	"strings"

	"github.com/apex/log"

	"github.com/egretbend/egretbend/internal/kernel/problem"
)

// applyConfiguration looks up the regions of the request again if the configuration has changed
// since. It sets d.regionsChanged if they are others than before.
func (d *dispatch) applyConfiguration() {
	if d.f.Config == nil {
		return
	}
	cfg := d.f.Config.Current()
	if cfg == nil || cfg == d.cfg {
		return
	}
	d.cfg = cfg
	if !cfg.Restricted() && !d.regions.Restricted() {
		return
	}
	organisation := d.req.RegionOrganisation
	if organisation == "" {
		organisation = d.req.Organisation
	}
	regions := cfg.RequestRegions(hostName(d.req.Host), pathOf(d.req.Target), organisation, d.req.Route.Regions)
	if !regions.Equal(d.regions) {
		d.regions = regions
		d.regionsChanged = true
	}
}

// Changed implements admission.Revalidator.
func (d *dispatch) Changed() <-chan struct{} { return d.cfg.Superseded() }

// Revalidate implements admission.Revalidator: a request keeps its place in the queue unless
// its regions have changed.
func (d *dispatch) Revalidate() bool {
	d.applyConfiguration()
	return !d.regionsChanged
}

// selectGroup sets the group to the upstreams of the service in the allowed regions. If there
// are none, it takes another service of the route that has some.
func (d *dispatch) selectGroup() {
	d.regionsChanged = false
	d.group = d.f.Upstreams.Group(d.service).In(d.regions)
	if len(d.group.Upstreams) == 0 && d.regions.Restricted() {
		d.service = d.f.Upstreams.ChooseService(d.req.Route, d.regions, rand.Float64())
		d.group = d.f.Upstreams.Group(d.service).In(d.regions)
	}
}

// updateGate applies a changed configuration while no attempt is in flight, and sets the gate
// to that of the upstreams that may serve the request now.
func (d *dispatch) updateGate() {
	d.applyConfiguration()
	if d.regionsChanged {
		d.selectGroup()
		d.gate = d.f.gateOf(d)
	}
}

// checkRegions returns an error if no upstream may serve the request by the configuration in
// force. It updates the group of a restricted request, as an upstream may have moved to another
// region.
func (d *dispatch) checkRegions() error {
	d.applyConfiguration()
	if !d.regionsChanged && !d.regions.Restricted() {
		return nil
	}
	d.selectGroup()
	switch {
	case !d.regions.Restricted() || len(d.group.Upstreams) > 0:
		return nil
	case d.regions.Empty():
		return problem.RegionsEmpty.Withf("route %s and the organisation allow no region in common", d.req.Route.Name).
			WithRetryAfter(retryAfterRegionsEmpty)
	}
	return problem.RegionUnavailable.Withf("none of the %d upstreams of service %s is in an allowed region (%s)",
		len(d.f.Upstreams.Group(d.service).Upstreams), d.service, d.regions).WithRetryAfter(retryAfterNoUpstream)
}

// logRegionRefusal logs a request that was refused because no upstream may serve it. Such a
// request did not run.
func (d *dispatch) logRegionRefusal(err error) {
	if !problem.Is(err, problem.RegionsEmpty) && !problem.Is(err, problem.RegionUnavailable) {
		return
	}
	e := problem.From(err)
	d.f.Journal.Decision("refuse", log.Fields{
		"request_id":     d.req.ID,
		"route":          d.req.Route.Name,
		"service":        d.service,
		"organisation":   d.req.Organisation,
		"regions":        d.regions.String(),
		"reason":         e.Kind.Code,
		"error":          e.Cause.Error(),
		"retry_after_ms": e.RetryAfter.Milliseconds(),
	})
}

// hostName returns the host without its port.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i > strings.LastIndexByte(host, ']') {
		return host[:i]
	}
	return host
}

// pathOf returns the decoded path of a request target.
func pathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	if decoded, err := url.PathUnescape(path); err == nil {
		return decoded
	}
	return path
}
