package registry

import (
	"context"
	"slices"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/fleet/mirror"
	"github.com/egretbend/egretbend/internal/kernel/journal"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
	"github.com/egretbend/egretbend/internal/route/residency"
)

// Prefix is the common prefix of all keys of the registry, so that one watch
// covers them.
const Prefix = "egretbend/fleet/"

const (
	instancePrefix  = Prefix + "instance/"
	dutyPrefix      = Prefix + "duty/"
	broadcastPrefix = Prefix + "board/"
)

// Durations of leases and of the calls for them.
const (
	// leaseTTL is how long after its last renewal an instance is considered dead
	// and its batches are taken over. A shorter TTL would take batches from
	// instances that are only slow.
	leaseTTL = 2200 * time.Millisecond
	// renewPeriod is the time between two renewals. It allows for two lost ones.
	renewPeriod = 700 * time.Millisecond
	// smallInstanceTTL and smallInstanceRenewPeriod are for instances that run no
	// batches and don't relay changes from the service to other instances. Their
	// successors detect their loss. A renewal costs a tenth of a call, and there
	// are hundreds of these instances.
	smallInstanceTTL         = 12 * time.Second
	smallInstanceRenewPeriod = 4 * time.Second
	// ViewTimeout is how long an instance waits for the view before it writes its
	// entry. The view shows whether it is one of the small instances.
	ViewTimeout = 500 * time.Millisecond
	// callTimeout bounds the calls of one renewal.
	callTimeout = 900 * time.Millisecond
	// missingKeyGrace is how long instances without an entry stay in the view
	// after an outage of the service, in which their leases may have expired.
	missingKeyGrace = 1500 * time.Millisecond
)

// InstanceKey returns the key of an instance's entry.
func InstanceKey(name string) string { return instancePrefix + name }

// DutyKey returns the key that stores the name of the instance that holds a
// duty. Only one instance holds a duty at a time.
func DutyKey(duty string) string { return dutyPrefix + duty }

// BroadcastKey returns the key of a value that is delivered to all instances together
// with the view.
func BroadcastKey(name string) string { return broadcastPrefix + name }

// Registry maintains the entry of this instance and a view of all instances.
type Registry struct {
	Store   keyvalue.TransactionalStore
	Timer   timer.Service
	Journal *journal.Journal
	// OnGone is called with the names of instances that left the view or became
	// suspect, and with the name of this instance when the view is first known;
	// nil is not called.
	OnGone func(names []string)
	// OnBroadcast is called with changes of keys returned by BroadcastKey; nil is not
	// called.
	OnBroadcast func(changes []keyvalue.Change)
	// ConfigureMirror configures the mirror that follows the view, before it runs; nil
	// leaves it following Store.
	ConfigureMirror func(m *mirror.Mirror)
	// OnLeaseRegained is called when this instance holds a lease again after it had lost
	// one: other instances may have considered it dead meanwhile. nil is not
	// called.
	OnLeaseRegained func()
	// Restricted reports whether batches may be restricted to regions; nil means that they
	// are not.
	Restricted func() bool

	self atomic.Pointer[Member]
	// leaseID is the lease of this instance's entry, or zero if none is held.
	leaseID uint64
	// writeMu is held while this instance writes its entry. storedRevision is the
	// last known revision of the entry.
	writeMu        sync.Mutex
	storedRevision uint64
	// ttl is the TTL of the lease.
	ttl atomic.Int64
	// currentLease is the last lease that the entry was written under, for readers
	// in other goroutines.
	currentLease atomic.Uint64
	// renewedAt is the instant before the last successful renewal, or zero after
	// the lease was lost.
	renewedAt atomic.Int64
	// leaseLost is set from the loss of a lease until a new one is held.
	leaseLost bool

	mu      sync.Mutex
	members map[string]Member
	// suspects holds the members whose entries are missing after an outage.
	suspects map[string]bool
	// duties holds the last value of the key of each duty.
	duties     map[string]string
	view       atomic.Pointer[[]Member]
	viewMirror atomic.Pointer[mirror.Mirror]
}

// SetSelf sets the entry of this instance. It must be called before Run.
func (r *Registry) SetSelf(m Member) { r.self.Store(&m) }

// Self returns the entry of this instance.
func (r *Registry) Self() Member { return *r.self.Load() }

// Members returns the instances in the view in order of their names, including
// this one.
func (r *Registry) Members() []Member {
	if v := r.view.Load(); v != nil {
		return *v
	}
	return []Member{r.Self()}
}

// Find returns the instance called name.
func (r *Registry) Find(name string) (Member, bool) {
	members := r.Members()
	i, found := slices.BinarySearchFunc(members, name, func(m Member, name string) int { return strings.Compare(m.Name, name) })
	if !found {
		return Member{}, false
	}
	return members[i], true
}

// FirstEligible returns the name of the eligible instance whose name sorts first, or an
// empty string if there is none.
func (r *Registry) FirstEligible() string {
	members := r.Members()
	minCores := minEligibleCores(members)
	for i := range members {
		if members[i].eligible(minCores) {
			return members[i].Name
		}
	}
	return ""
}

// Eligible reports whether this instance is eligible for batches, by the present view. While
// batches are restricted to regions, those of its region may leave it as the largest instance.
func (r *Registry) Eligible() bool {
	members := r.Members()
	self, ok := r.Find(r.Self().Name)
	if !ok || self.eligible(minEligibleCores(members)) {
		return ok
	}
	if r.Restricted == nil || !r.Restricted() {
		return false
	}
	return self.eligible(minEligibleCores(InRegions(members, residency.FromList([]string{self.Region}))))
}

// DutyValue returns the last value read from the key of a duty, or an empty string.
func (r *Registry) DutyValue(duty string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.duties[duty]
}

// Suspected reports whether an instance that is in the view has no entry after an
// outage of the service. It may be dead, or about to write its entry again.
func (r *Registry) Suspected(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.suspects[name]
}

// markSuspects marks the members whose keys are missing as suspects, and passes
// their names to OnGone: their batches may be taken over if they don't answer,
// before they leave the view.
func (r *Registry) markSuspects(keys []string) {
	var names []string
	r.mu.Lock()
	if r.suspects == nil {
		r.suspects = make(map[string]bool)
	}
	for _, key := range keys {
		if name, ok := strings.CutPrefix(key, instancePrefix); ok {
			r.suspects[name] = true
			names = append(names, name)
		}
	}
	r.mu.Unlock()
	if len(names) > 0 && r.OnGone != nil {
		r.OnGone(names)
	}
}

// Present reports whether an instance is in the view.
func (r *Registry) Present(name string) bool {
	_, ok := r.Find(name)
	return ok
}

// Alive reports whether an incarnation of an instance is in the view.
func (r *Registry) Alive(name, incarnation string) bool {
	m, ok := r.Find(name)
	return ok && m.Incarnation == incarnation
}

// Synced reports whether the view has been read from the service.
func (r *Registry) Synced() bool {
	m := r.viewMirror.Load()
	return m != nil && m.Synced()
}

// Run maintains the entry of this instance and the view until t dies.
func (r *Registry) Run(t *tomb.Tomb) error {
	viewMirror := &mirror.Mirror{
		Store:            r.Store,
		Prefix:           Prefix,
		OnChange:         r.applyChanges,
		Timer:            r.Timer,
		Journal:          r.Journal,
		RemovalDelay:     missingKeyGrace,
		OnRemovalDelayed: r.markSuspects,
	}
	if r.ConfigureMirror != nil {
		r.ConfigureMirror(viewMirror)
	}
	r.viewMirror.Store(viewMirror)
	t.Go(func() error { return viewMirror.Run(t) })
	r.AwaitView(t, ViewTimeout)
	ctx := t.Context(context.Background())
	failing := false
	for t.Alive() {
		err := r.renew(ctx)
		if t.Alive() && (err != nil) != failing {
			failing = err != nil
			r.logLeaseState(err)
		}
		timer.Wait(r.Timer, r.renewInterval(err), t.Dying())
	}
	return nil
}

// AwaitView waits until the view has been read, at most for timeout.
func (r *Registry) AwaitView(t *tomb.Tomb, timeout time.Duration) {
	const pollPeriod = 20 * time.Millisecond
	timer.Poll(r.Timer, pollPeriod, timeout, t.Dying(), r.Synced)
}

// MarkLeaving marks this instance as leaving, so that the others give it no new work.
func (r *Registry) MarkLeaving(ctx context.Context) error {
	self := r.Self()
	self.Leaving = true
	r.self.Store(&self)
	r.updateView()
	return r.writeSelf(ctx, r.currentLease.Load())
}

// RevokeLease revokes the lease. It must be called after Run has returned.
func (r *Registry) RevokeLease(ctx context.Context) error {
	if r.leaseID == 0 {
		return nil
	}
	return r.Store.Revoke(ctx, r.leaseID)
}

// applyChanges applies changes of the registry's keys to the view and calls
// OnBroadcast and OnGone.
func (r *Registry) applyChanges(changes []keyvalue.Change) {
	r.mu.Lock()
	var gone []string
	if r.members == nil {
		gone = append(gone, r.Self().Name)
		r.members = make(map[string]Member)
		r.duties = make(map[string]string)
	}
	var broadcasts []keyvalue.Change
	for _, c := range changes {
		if strings.HasPrefix(c.Key, broadcastPrefix) {
			broadcasts = append(broadcasts, c)
			continue
		}
		if duty, ok := strings.CutPrefix(c.Key, dutyPrefix); ok {
			r.duties[duty] = string(c.Value)
			continue
		}
		name := strings.TrimPrefix(c.Key, instancePrefix)
		delete(r.suspects, name)
		if c.Removed {
			delete(r.members, name)
			gone = append(gone, name)
			continue
		}
		m, err := decodeMember(name, c.Value)
		r.Journal.WarnOnce("invalid instance entry", c.Key, err, log.Fields{
			"key": c.Key,
		})
		if err == nil {
			r.members[name] = m
		}
	}
	r.mu.Unlock()
	if len(broadcasts) > 0 && r.OnBroadcast != nil {
		r.OnBroadcast(broadcasts)
	}
	if len(broadcasts) == len(changes) && len(gone) == 0 {
		return
	}
	r.updateView()
	r.Journal.Info("instances", log.Fields{
		"known":   len(r.Members()),
		"changes": len(changes),
	})
	if len(gone) > 0 && r.OnGone != nil {
		r.OnGone(gone)
	}
}

// updateView rebuilds the view from the members and this instance's own entry.
func (r *Registry) updateView() {
	r.mu.Lock()
	defer r.mu.Unlock()
	self := r.Self()
	list := []Member{self}
	for _, m := range r.members {
		if m.Name != self.Name {
			list = append(list, m)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	r.view.Store(&list)
}
