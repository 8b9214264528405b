// Package evacuation keeps the set of failure domains to which nothing may be sent.
//
// An operator evacuates a domain by writing a key to the key-value service, and takes it back
// by removing the key. A mirror of these keys passes what it reads to a Tracker, which decides
// by Set.Apply what changed, logs each change and passes the set on:
//
//	tracker := &evacuation.Tracker{
//		OnChange: upstreams.SetEvacuated,
//		IsKnown:  func(domain string) bool { ... },
//		Load:     upstreams.DomainLoad,
//		Timer:    clock,
//		Journal:  journal,
//	}
//	mirror.OnSeen = func(changes []keyvalue.Change, _ uint64) { tracker.Apply(decode(changes)) }
//
// The first call of Apply states the whole set, even if it is empty: until then it is unknown
// which domains are evacuated. While the service is away the last known set holds.
package evacuation
