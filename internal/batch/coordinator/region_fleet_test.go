package coordinator

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/batch/ledger"
	"github.com/egretbend/egretbend/internal/batch/runner"
	"github.com/egretbend/egretbend/internal/batch/submission"
	"github.com/egretbend/egretbend/internal/fleet/mirror"
	"github.com/egretbend/egretbend/internal/fleet/registry"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
	"github.com/egretbend/egretbend/internal/route/catalog"
	"github.com/egretbend/egretbend/internal/route/organisation"
	"github.com/egretbend/egretbend/internal/route/residency"
	"github.com/egretbend/egretbend/internal/standin/memorystore"
)

// regionFleet is a fleet of instances in several regions that call each other directly.
type regionFleet struct {
	store *memorystore.Store
	// config is the configuration in force.
	config  catalog.Holder
	members []registry.Member
	nodes   []*regionNode

	mu sync.Mutex
	// client is the instance that a client is connected to.
	client *regionNode
	strays []string
}

// regionNode is one instance, which records what reaches it.
type regionNode struct {
	*Coordinator
	fleet    *regionFleet
	member   registry.Member
	onChange func([]keyvalue.Change)
	gone     bool
}

// regionStore is the store as one instance calls it.
type regionStore struct {
	keyvalue.TransactionalStore
	n *regionNode
}

// regionPeers are the other instances as one instance calls them.
type regionPeers struct {
	silentPeers
	n *regionNode
}

// allowed returns the regions that the configuration in force allows.
func (f *regionFleet) allowed() residency.Regions {
	cfg := f.config.Current()
	return cfg.Routes[0].Regions.Intersect(cfg.Organisations.Regions("o"))
}

// sees records that an instance gets the body or the results of a batch.
func (n *regionNode) sees(what string) {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	if n != n.fleet.client && !n.fleet.allowed().Allows(n.member.Region) {
		n.fleet.strays = append(n.fleet.strays, fmt.Sprintf("%s in %q, allowed %s: %s", n.member.Name, n.member.Region, n.fleet.allowed(), what))
	}
}

func (s regionStore) Range(ctx context.Context, prefix string, c keyvalue.Consistency) (keyvalue.Listing, error) {
	if strings.HasPrefix(prefix, "egretbend/batch/") {
		s.n.sees("reads the ledger")
	}
	return s.TransactionalStore.Range(ctx, prefix, c)
}

// callPeer calls the instance at an address, unless it is gone.
func callPeer[T any](n *regionNode, address string, call func(p *regionNode) (T, error)) (T, error) {
	for _, p := range n.fleet.nodes {
		if p.member.PeerAddress == address && !p.gone {
			return call(p)
		}
	}
	return *new(T), errSilent
}

func (r regionPeers) Submit(_ context.Context, address string, sub *submission.Submission) error {
	forwarded := *sub
	reply, err := callPeer(r.n, address, func(p *regionNode) (reply Reply, err error) {
		p.sees("gets a batch")
		err = (&Server{coordinator: p.Coordinator}).Submit(&forwarded, &reply)
		return reply, err
	})
	if err != nil {
		return err
	}
	return reply.submitError()
}

func (r regionPeers) Read(ctx context.Context, address, id string, after int, _ time.Duration) (runner.Page, error) {
	return callPeer(r.n, address, func(p *regionNode) (runner.Page, error) {
		r.n.sees("gets results")
		return p.readLocal(ctx, id, after, 0)
	})
}

func (r regionPeers) Body(_ context.Context, address, id, item string) ([]byte, bool, error) {
	body, err := callPeer(r.n, address, func(p *regionNode) ([]byte, error) {
		r.n.sees("gets a body")
		body, _, err := p.Runner.Body(id, item)
		return body, err
	})
	return body, body != nil, err
}

func (r regionPeers) Stored(_ context.Context, address, id, item string, after int) (runner.Page, []byte, bool, error) {
	reply, err := callPeer(r.n, address, func(p *regionNode) (reply Reply, err error) {
		err = (&Server{coordinator: p.Coordinator}).Stored(&Call{Batch: id, Item: item, After: after}, &reply)
		return reply, err
	})
	return reply.Page, reply.Body, reply.Found, err
}

func (r regionPeers) Adopt(ctx context.Context, address, id string) error {
	_, err := callPeer(r.n, address, func(p *regionNode) (any, error) {
		claim, err := p.Ledger.Find(ctx, id)
		if err == nil && claim.Owner == p.Ledger.Self {
			p.acquire(claim)
		}
		return nil, err
	})
	return err
}

// newRegionFleet returns a fleet with an instance and an engine in each of the given regions.
// With enforced unset, the instances know a configuration without restrictions.
func newRegionFleet(regions []string, enforced bool) *regionFleet {
	f := &regionFleet{
		store: &memorystore.Store{Timer: timer.Real{}},
	}
	known := &f.config
	if !enforced {
		known = &catalog.Holder{}
		known.Update(regionConfiguration(1, residency.Regions{}, residency.Regions{}))
	}
	var entries []catalog.Entry
	for i, region := range regions {
		name := fmt.Sprint("i", i)
		f.members = append(f.members, registry.Member{Name: name, Incarnation: "1", PeerAddress: name, Region: region, Cores: 1})
		f.nodes = append(f.nodes, &regionNode{fleet: f, member: f.members[i]})
		entries = append(entries, catalog.Entry{ID: name, Service: "s", Address: name, Slots: 4, Region: region})
	}
	for _, n := range f.nodes {
		reg := &registry.Registry{
			Store:           f.store,
			Timer:           timer.Real{},
			ConfigureMirror: func(m *mirror.Mirror) { n.onChange = m.OnChange },
		}
		reg.SetSelf(n.member)
		// The view is set by hand: the mirror ends at once.
		var t tomb.Tomb
		t.Kill(nil)
		t.Go(func() error { return reg.Run(&t) })
		_ = t.Wait()
		l := &ledger.Ledger{
			Store: regionStore{TransactionalStore: f.store, n: n},
			Self:  ledger.Owner{Instance: n.member.Name, Incarnation: "1", Address: n.member.PeerAddress},
			Pause: func(time.Duration) {},
		}
		upstreams := &catalog.Upstreams{Timer: timer.Real{}}
		upstreams.Update(entries, nil)
		n.Coordinator = &Coordinator{
			Runner:   &runner.Runner{Ledger: l, Upstreams: upstreams, Configuration: known, Timer: timer.Real{}},
			Ledger:   l,
			Registry: reg,
			Peers:    regionPeers{n: n},
			Timer:    timer.Real{},
			Leaving:  func() bool { return n.gone },
			Config:   known,
		}
		n.Runner.Start()
		for _, m := range f.members {
			value, _ := json.Marshal(m)
			n.onChange([]keyvalue.Change{{Item: keyvalue.Item{Key: registry.InstanceKey(m.Name), Value: value}}})
		}
	}
	return f
}

func (f *regionFleet) stop() {
	for _, n := range f.nodes {
		n.Runner.Stop()
	}
}

// running returns the instances that are not gone; there is at least one.
func (f *regionFleet) running() []*regionNode {
	return slices.DeleteFunc(slices.Clone(f.nodes), func(n *regionNode) bool { return n.gone })
}

// lose ends an instance and removes it from the views of the others.
func (f *regionFleet) lose(lost *regionNode) {
	lost.gone = true
	lost.Runner.Stop()
	for _, n := range f.nodes {
		n.onChange([]keyvalue.Change{{Item: keyvalue.Item{Key: registry.InstanceKey(lost.member.Name)}, Removed: true}})
	}
}

// settle makes all instances apply the configuration and sweep.
func (f *regionFleet) settle() {
	f.setClient(nil)
	for _, n := range f.nodes {
		if !n.gone {
			n.leaveRegion(context.Background())
		}
	}
	for _, n := range f.nodes {
		claims, _ := n.Ledger.OpenBatches(context.Background(), keyvalue.Fresh)
		for _, c := range claims {
			switch {
			case n.gone:
			case n.shouldTakeOver(c):
				n.acquire(c)
			case c.Owner == n.Ledger.Self && !n.Runner.Has(c.Batch):
				n.giveAway(c)
			}
		}
	}
	running := make(map[string]bool)
	var regions []string
	for _, n := range f.nodes {
		if n.gone {
			continue
		}
		regions = append(regions, n.member.Region)
		for _, c := range n.Runner.Claims() {
			n.sees("runs a batch")
			running[c.Batch] = true
		}
		if slices.ContainsFunc(n.finished.recs[:], func(r *ledger.Record) bool { return r != nil }) {
			n.sees("caches a batch")
		}
	}
	claims, _ := f.nodes[0].Ledger.OpenBatches(context.Background(), keyvalue.Fresh)
	for _, c := range claims {
		if !running[c.Batch] && slices.ContainsFunc(regions, c.Binding.Allowed(f.config.Current()).Allows) {
			f.strays = append(f.strays, c.Batch+" waits although it may run")
		}
	}
}

func (f *regionFleet) setClient(n *regionNode) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.client = n
}

// regionConfiguration returns a configuration whose only route and only organisation have the
// given regions.
func regionConfiguration(version uint64, ofRoute, ofOrganisation residency.Regions) *catalog.Configuration {
	return catalog.Configuration{
		Version: version,
		Routes: []catalog.Route{{
			Name: "r", Host: "h", Prefix: "/", Kind: catalog.Rollout, Regions: ofRoute,
			Split: []catalog.WeightedService{{Service: "s", Weight: 1}},
		}},
		Organisations: organisation.NewDirectory([]organisation.Organisation{{Name: "o", Regions: ofOrganisation}}),
	}.WithIndex()
}

func testBatch(id string) *submission.Submission {
	return &submission.Submission{
		ID: id, Organisation: "o", Host: "h", Path: "/b", SubmittedMS: time.Now().UnixMilli(),
		Model: "m", OldestVersion: 1, // no engine has the weights, so that no item starts
		Items: []submission.Item{{ID: id + "/x", Path: "/x", Body: []byte("body")}},
	}
}
