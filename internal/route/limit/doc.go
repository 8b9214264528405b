// Package limit is the admission control: it decides which requests are admitted,
// before any work is done for them.
//
// A Limiter keeps an adaptive concurrency limit for each deployment. The limit grows
// while requests are answered and shrinks when upstreams refuse or time out, so that
// instances share the upstreams without coordination. Lower priorities are admitted
// only while part of the limit is unused. When the limit is nearly used up, callers
// above their fair share are refused first.
//
//	permit, err := limiter.Admit(limit.Request{
//		Deployment: "d",
//		Caller:     "c",
//		Weight:     1,
//		Capacity:   40,
//	})
//	if err != nil {
//		return err // problem.Overloaded, with the time to retry after
//	}
//	defer permit.Release(limit.Succeeded)
package limit
