// Package residency describes in which regions requests may be served and stored.
//
// Routes and organisations each may allow some regions only. Where both do, both apply:
//
//	allowed := route.Regions.Intersect(org.Regions)
//	if !allowed.Allows(upstream.Region) {
//		// The upstream must not receive the request.
//	}
package residency
