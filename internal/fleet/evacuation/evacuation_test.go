package evacuation_test

import (
	"bytes"
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/fleet/evacuation"
	"github.com/egretbend/egretbend/internal/fleet/mirror"
	"github.com/egretbend/egretbend/internal/kernel/journal"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
	"github.com/egretbend/egretbend/internal/route/catalog"
	"github.com/egretbend/egretbend/internal/standin/memorystore"
)

// fixture is a tracker that follows a store.
type fixture struct {
	store   *memorystore.Store
	clock   *timer.Manual
	tracker *evacuation.Tracker
	log     bytes.Buffer

	mu sync.Mutex
	// reported holds the reported sets, each as the sorted names of its domains.
	reported []string
	// down makes the store unavailable, and older replaces its next listing.
	down  bool
	older *keyvalue.Listing
}

// followed is the store as the mirror sees it.
type followed struct {
	*memorystore.Store
	f *fixture
}

// Range implements keyvalue.TransactionalStore.
func (s followed) Range(ctx context.Context, prefix string, c keyvalue.Consistency) (keyvalue.Listing, error) {
	s.f.mu.Lock()
	older := s.f.older
	s.f.older = nil
	s.f.mu.Unlock()
	if older != nil {
		return *older, nil
	}
	return s.Store.Range(ctx, prefix, c)
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{
		clock: &timer.Manual{},
	}
	f.store = &memorystore.Store{
		Timer: f.clock,
		Fault: func(memorystore.Operation) memorystore.Fault {
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.down {
				return memorystore.Down
			}
			return memorystore.None
		},
	}
	j, err := journal.Open(&f.log, "info", "i")
	if err != nil {
		t.Fatal(err)
	}
	f.tracker = &evacuation.Tracker{
		OnChange: func(domains map[string]bool) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.reported = append(f.reported, strings.Join(slices.Sorted(maps.Keys(domains)), " "))
		},
		IsKnown: func(domain string) bool { return domain != "x" },
		Load:    func(string) catalog.DomainLoad { return catalog.DomainLoad{} },
		Timer:   f.clock,
		Journal: j,
	}
	return f
}

// follow runs a mirror of the store.
func (f *fixture) follow(t *testing.T) {
	m := &mirror.Mirror{
		Store:       followed{f.store, f},
		Prefix:      "e/",
		OnChange:    func([]keyvalue.Change) {},
		Timer:       f.clock,
		RejectOlder: true,
		OnSeen: func(changes []keyvalue.Change, revision uint64) {
			var decoded []evacuation.Change
			for _, c := range changes {
				decoded = append(decoded, evacuation.Change{
					Domain:   strings.TrimPrefix(c.Key, "e/"),
					Revision: c.Revision,
					Removed:  c.Removed,
				})
			}
			f.tracker.Apply(decoded)
			f.tracker.Followed(revision)
		},
	}
	var running tomb.Tomb
	running.Go(func() error { return m.Run(&running) })
	stop := f.clock.Run(20*time.Millisecond, 200*time.Microsecond)
	t.Cleanup(func() {
		running.Kill(nil)
		_ = running.Wait()
		stop()
	})
}

// commit writes and removes the keys of domains.
func (f *fixture) commit(write, remove string) error {
	var tx keyvalue.Transaction
	if write != "" {
		tx.Writes = []keyvalue.Write{{Key: "e/" + write, Value: []byte("{}")}}
	}
	if remove != "" {
		tx.Removes = []string{"e/" + remove}
	}
	_, err := f.store.Commit(context.Background(), tx)
	return err
}

// waitForSet reports whether the last reported set becomes the wanted one.
func (f *fixture) waitForSet(want string) bool {
	return timer.Poll(timer.Real{}, time.Millisecond, 10*time.Second, nil, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.reported) > 0 && f.reported[len(f.reported)-1] == want
	})
}

func (f *fixture) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// Guards against an instance that never learns that no domain is evacuated, against one that
// keeps only the last of two evacuations, and against one that forgets them while the store is
// away or keeps a domain whose removal fell into a compacted part of the history.
func TestFollowsEvacuationsThroughFaults(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.follow(t)
	is.True(f.waitForSet("")) // reported although nothing is evacuated
	is.NoErr(f.commit("a", ""))
	is.True(f.waitForSet("a"))
	is.NoErr(f.commit("b", ""))
	is.True(f.waitForSet("a b"))

	f.setDown(true)
	f.clock.Advance(time.Minute)
	is.True(f.waitForSet("a b")) // the last known set holds
	f.setDown(false)
	is.NoErr(f.commit("", "a"))
	f.store.Compact()
	is.True(f.waitForSet("b")) // the listing lacks the key
	f.mu.Lock()
	defer f.mu.Unlock()
	is.Equal(f.reported, []string{"", "a", "a b", "b"})
}

// Guards against a listing that another instance read before the last known changes: it must
// neither take a domain back nor evacuate one again.
func TestOlderListingHasNoEffect(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.follow(t)
	is.NoErr(f.commit("a", ""))
	is.NoErr(f.commit("b", "a"))
	is.True(f.waitForSet("b"))
	f.mu.Lock()
	before := len(f.reported)
	f.older = &keyvalue.Listing{
		Items:    []keyvalue.Item{{Key: "e/a", Revision: 1, Value: []byte("{}")}},
		Revision: 1,
	}
	f.mu.Unlock()
	f.setDown(true) // the watch fails, so that the mirror lists
	is.True(timer.Poll(timer.Real{}, time.Millisecond, 10*time.Second, nil, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.older == nil
	}))
	f.setDown(false)
	is.NoErr(f.commit("c", ""))
	is.True(f.waitForSet("b c"))
	f.mu.Lock()
	defer f.mu.Unlock()
	is.Equal(f.reported[before:], []string{"b c"})
}

// Guards against a domain that is put back for a moment by a removal that arrives together with
// a second evacuation, which may be in force for long by then. Both changes must be logged.
func TestRemovedAndWrittenAgain(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.tracker.Apply([]evacuation.Change{{Domain: "a", Revision: 1}})
	f.tracker.Apply([]evacuation.Change{
		{Domain: "a", Revision: 2, Removed: true},
		{Domain: "a", Revision: 3},
	})
	f.tracker.Apply([]evacuation.Change{{Domain: "a", Revision: 2, Removed: true}}) // late
	is.Equal(f.reported, []string{"a", "a"})
	is.Equal(f.tracker.Status()[0].Revision, uint64(3))
	is.NoErr(f.tracker.Journal.Flush())
	is.Equal(strings.Count(f.log.String(), "evacuation_ended"), 1)
}

// Guards against bad input that is ignored where it names a domain, that evacuates something
// where it does not, or that nobody reads about.
func TestBadInput(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.tracker.Apply([]evacuation.Change{
		{Domain: "", Revision: 1},
		{Domain: "a", Revision: 2, Invalid: errors.New("no object")},
		{Domain: "x", Revision: 3},
	})
	is.Equal(f.reported, []string{"a x"})
	is.NoErr(f.tracker.Journal.Flush())
	for _, text := range []string{"names no failure domain", "no object", "no upstream and no setting names"} {
		is.True(strings.Contains(f.log.String(), text))
	}
}

// Guards against a domain that stays evacuated for ever, as the removal of its key fell into a time
// that the mirror skipped after another listing had shown the key, and against a domain that is
// put back although the mirror does not reach back to that listing, or has the key as well.
func TestEvacuationKnownFromListingOnly(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.follow(t)
	is.True(f.waitForSet(""))
	is.NoErr(f.commit("b", ""))
	is.True(f.waitForSet("b"))
	listing, err := f.store.Range(context.Background(), "e/", keyvalue.Fresh)
	is.NoErr(err)
	f.tracker.ApplyListing([]evacuation.Change{
		{Domain: "a", Revision: listing.Revision + 1},
		{Domain: "b", Revision: listing.Items[0].Revision},
	})
	is.True(f.waitForSet("a b"))
	f.tracker.Followed(listing.Revision + 1)
	is.True(f.waitForSet("a b"))
	f.setDown(true) // the key of a is written and removed before the mirror lists again
	f.clock.Advance(time.Minute)
	f.setDown(false)
	is.NoErr(f.commit("x", ""))
	is.NoErr(f.commit("", "x"))
	f.store.Compact()
	is.True(f.waitForSet("b"))
}

// Guards against logging a bad key again with each listing.
func TestBadInputIsLoggedOnce(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	for range 3 {
		f.tracker.Apply([]evacuation.Change{
			{Domain: "", Revision: 1},
			{Domain: "a", Revision: 2, Invalid: errors.New("no object")},
		})
	}
	is.NoErr(f.tracker.Journal.Flush())
	is.Equal(strings.Count(f.log.String(), "names no failure domain"), 1)
	is.Equal(strings.Count(f.log.String(), "no object"), 1)
}
