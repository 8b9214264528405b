package registry

import (
	"context"
	"encoding/json"
	"math/rand/v2"
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
)

// Prefix is where the registry's keys lie, so that one watch tells of them.
const Prefix = "egretbend/fleet/"

const (
	instancePrefix = Prefix + "instance/"
	dutyPrefix     = Prefix + "duty/"
	boardPrefix    = Prefix + "board/"
)

// The times of a lease.
const (
	// leaseTTL is how long after its last renewal an instance is taken for
	// dead. Its batches are taken over then; shorter would take them from
	// instances that are only slow.
	leaseTTL = 2200 * time.Millisecond
	// renewEvery leaves room for two lost renewals.
	renewEvery = 700 * time.Millisecond
	// smallTTL and smallEvery are for instances that run no batches and that
	// nobody hears the service from. Their successors find out when they are
	// lost; a renewal costs a tenth of a call, and there are hundreds of them.
	smallTTL   = 12 * time.Second
	smallEvery = 4 * time.Second
	// ViewWait is how long an instance waits for the view before it writes
	// itself: the view says which of the two it is.
	ViewWait = 500 * time.Millisecond
	// callTimeout bounds one call of the lease.
	callTimeout = 900 * time.Millisecond
	// viewSettle is how long instances are kept after an outage of the
	// service, in which their leases may have run out.
	viewSettle = 1500 * time.Millisecond
)

// Key returns where an instance writes itself.
func Key(name string) string { return instancePrefix + name }

// DutyKey returns where the holder of a duty that only one instance has writes
// its name.
func DutyKey(duty string) string { return dutyPrefix + duty }

// BoardKey returns where something lies that all instances hear of with the view.
func BoardKey(name string) string { return boardPrefix + name }

// Registry writes this instance and follows the others.
type Registry struct {
	Space   keyvalue.Space
	Timer   timer.Service
	Journal *journal.Journal
	// Gone is called with the names of instances that left the view, and with
	// this one's when the view is first known; nil is not called.
	Gone func(names []string)
	// Posted is called with changes of keys made by BoardKey; nil is not called.
	Posted func(changes []keyvalue.Change)
	// Following says how the view is followed; nil follows Space itself.
	Following func(m *mirror.Mirror)
	// Lapsed is called when this instance holds a lease again after it had lost
	// one: others may have taken it for dead meanwhile. nil is not called.
	Lapsed func()

	self  atomic.Pointer[Member]
	lease uint64
	// writing is held while this instance writes its key; stored is the revision of
	// that key as far as it is known.
	writing sync.Mutex
	stored  uint64
	ttl     atomic.Int64
	number  atomic.Uint64
	renewed atomic.Int64
	lapsed  bool
	mu      sync.Mutex
	members map[string]Member
	// suspects are members whose keys are missing after an outage.
	suspects map[string]bool
	duties   map[string]string
	view     atomic.Pointer[[]Member]
	follow   atomic.Pointer[mirror.Mirror]
}

// SetSelf says who this instance is. It is called before Run.
func (r *Registry) SetSelf(m Member) { r.self.Store(&m) }

// Self returns this instance.
func (r *Registry) Self() Member { return *r.self.Load() }

// Members returns the instances in order of their names, this one included.
func (r *Registry) Members() []Member {
	if v := r.view.Load(); v != nil {
		return *v
	}
	return []Member{r.Self()}
}

// Find returns the instance called name.
func (r *Registry) Find(name string) (Member, bool) {
	for _, m := range r.Members() {
		if m.Name == name {
			return m, true
		}
	}
	return Member{}, false
}

// First returns the name of the first able instance.
func (r *Registry) First() string {
	for _, m := range Able(r.Members()) {
		return m.Name
	}
	return ""
}

// Able reports whether this instance is among the able ones as far as is known.
func (r *Registry) Able() bool {
	name := r.Self().Name
	return slices.ContainsFunc(Able(r.Members()), func(m Member) bool { return m.Name == name })
}

// Duty returns the name of the instance that holds a duty, or nothing.
func (r *Registry) Duty(duty string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.duties[duty]
}

// Suspected reports whether an instance that is in the view has no key after an
// outage of the service: it may be dead, or about to write itself again.
func (r *Registry) Suspected(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.suspects[name]
}

// suspect notes members whose keys are missing. Their batches may be taken over
// if they don't answer, before the view gives them up.
func (r *Registry) suspect(keys []string) {
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
	if len(names) > 0 && r.Gone != nil {
		r.Gone(names)
	}
}

// Present reports whether an instance is in the view.
func (r *Registry) Present(name string) bool {
	_, ok := r.Find(name)
	return ok
}

// Alive reports whether a life of an instance is in the view.
func (r *Registry) Alive(name, incarnation string) bool {
	m, ok := r.Find(name)
	return ok && m.Incarnation == incarnation
}

// Synced reports whether the view was read from the service.
func (r *Registry) Synced() bool {
	m := r.follow.Load()
	return m != nil && m.Synced()
}

// Run writes this instance and follows the others until t dies.
func (r *Registry) Run(t *tomb.Tomb) error {
	follow := &mirror.Mirror{
		Space:   r.Space,
		Prefix:  Prefix,
		Take:    r.take,
		Timer:   r.Timer,
		Journal: r.Journal,
		Settle:  viewSettle,
		Suspect: r.suspect,
	}
	if r.Following != nil {
		r.Following(follow)
	}
	r.follow.Store(follow)
	t.Go(func() error { return follow.Run(t) })
	r.AwaitView(t, ViewWait)
	ctx := t.Context(context.Background())
	failing := false
	for t.Alive() {
		err := r.renew(ctx)
		if t.Alive() && (err != nil) != failing {
			failing = err != nil
			r.logLease(err)
		}
		timer.Wait(r.Timer, r.pause(err), t.Dying())
	}
	return nil
}

// AwaitView waits for the view to be read, for a time at the most.
func (r *Registry) AwaitView(t *tomb.Tomb, most time.Duration) {
	const look = 20 * time.Millisecond
	timer.Until(r.Timer, look, most, t.Dying(), r.Synced)
}

// Leave tells all others that this instance takes no new work.
func (r *Registry) Leave(ctx context.Context) error {
	self := r.Self()
	self.Leaving = true
	r.self.Store(&self)
	r.publish()
	return r.write(ctx, r.lease)
}

// End gives the lease back, after Run has returned.
func (r *Registry) End(ctx context.Context) error {
	if r.lease == 0 {
		return nil
	}
	return r.Space.Revoke(ctx, r.lease)
}

// take applies changes of the view.
func (r *Registry) take(changes []keyvalue.Change) {
	r.mu.Lock()
	var gone []string
	if r.members == nil {
		gone = append(gone, r.Self().Name)
		r.members = make(map[string]Member)
		r.duties = make(map[string]string)
	}
	var posted []keyvalue.Change
	for _, c := range changes {
		if strings.HasPrefix(c.Key, boardPrefix) {
			posted = append(posted, c)
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
		var m Member
		if err := json.Unmarshal(c.Value, &m); err != nil {
			r.Journal.Trouble("instance entry not understood", err, log.Fields{
				"key": c.Key,
			})
			continue
		}
		r.members[name] = m
	}
	r.mu.Unlock()
	if len(posted) > 0 && r.Posted != nil {
		r.Posted(posted)
	}
	if len(posted) == len(changes) && len(gone) == 0 {
		return
	}
	r.publish()
	r.Journal.Event("instances", log.Fields{
		"known":   len(r.Members()),
		"changes": len(changes),
	})
	if len(gone) > 0 && r.Gone != nil {
		r.Gone(gone)
	}
}

func (r *Registry) publish() {
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

// EntryAddresses returns where callers connect, those of a failure domain
// first, at most n. Instances that are leaving are not among them.
func (r *Registry) EntryAddresses(domain string, n int) []string {
	var near, far []string
	for _, m := range r.Members() {
		switch {
		case m.Leaving || m.EntryAddress == "":
		case m.FailureDomain == domain:
			near = append(near, m.EntryAddress)
		default:
			far = append(far, m.EntryAddress)
		}
	}
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	all := append(near, far...)
	return all[:min(n, len(all))]
}
