package watchrelay

import (
	"fmt"
	"maps"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/egretbend/egretbend/internal/outside/keyvalue"
	"github.com/egretbend/egretbend/internal/standin/property"
)

// Guards against changes that are lost between two polls: the second answer replaced the one that said
// that the watcher was behind, and the caller never listed the prefix.
func TestBehindLastsUntilTheCallerLists(t *testing.T) {
	is := is.New(t)
	p := &watcherPoller{
		cursors:  map[string]uint64{"p/": 3},
		buffered: make(map[string]PrefixChanges),
	}
	p.buffer(map[string]PrefixChanges{"p/": {Behind: true, Revision: 8}})
	p.buffer(map[string]PrefixChanges{"p/": {Changes: []keyvalue.Change{change("p/a", 9)}, Revision: 9}})
	polled, ok := p.take("p/", 3)
	is.True(ok)
	is.True(polled.Behind)
	p.buffer(map[string]PrefixChanges{"p/": {Behind: true, Revision: 12}})
	p.buffer(map[string]PrefixChanges{"p/": {Changes: []keyvalue.Change{change("p/b", 13)}, Revision: 13}})
	polled, ok = p.take("p/", 14) // the caller has listed in between
	is.True(!ok)
	is.True(!polled.Behind)
}

// change returns a change of a key.
func change(key string, revision uint64) keyvalue.Change {
	return keyvalue.Change{Item: keyvalue.Item{Key: key, Revision: revision}}
}

// testService is the service: the items below a prefix and its history.
type testService struct {
	revision uint64
	items    map[string]keyvalue.Item
	history  []keyvalue.Change
}

// change sets or removes a key.
func (s *testService) change(key string, remove bool) {
	if _, there := s.items[key]; remove && !there {
		return
	}
	s.revision++
	c := change(key, s.revision)
	c.Removed = remove
	s.items[key] = c.Item
	if remove {
		delete(s.items, key)
	}
	s.history = append(s.history, c)
}

// pages lists the prefix in two pages with changes in between, as of the first page.
func (s *testService) pages(between func()) ([]keyvalue.Change, uint64) {
	asOf := s.revision
	var listed []keyvalue.Change
	page := func(first bool) {
		for key, item := range s.items {
			if key < "k2" == first {
				listed = append(listed, keyvalue.Change{Item: item})
			}
		}
	}
	page(true)
	between()
	page(false)
	return listed, asOf
}

// since returns the changes after a revision.
func (s *testService) since(after uint64) []keyvalue.Change {
	var list []keyvalue.Change
	for _, c := range s.history {
		if c.Revision > after {
			list = append(list, c)
		}
	}
	return list
}

// testFollower follows a prefix through a poller, as a mirror does.
type testFollower struct {
	poller watcherPoller
	items  map[string]keyvalue.Item
	after  uint64
}

// apply applies changes.
func (f *testFollower) apply(changes []keyvalue.Change, revision uint64) {
	for _, c := range changes {
		if c.Revision < f.items[c.Key].Revision {
			continue
		}
		f.items[c.Key] = c.Item
		if c.Removed {
			delete(f.items, c.Key)
		}
	}
	f.after = max(f.after, revision)
}

// checkFollower runs a service, a watcher of it and a follower of the watcher in any order of changes,
// polls, restarts of the watcher and reads of the follower, and compares what the follower has at the end.
func checkFollower(t *rapid.T) {
	s := &testService{items: make(map[string]keyvalue.Item)}
	key := func() string { return fmt.Sprint("k", rapid.IntRange(0, 4).Draw(t, "key")) }
	changeSome := func() {
		for range rapid.IntRange(0, 3).Draw(t, "changes") {
			s.change(key(), rapid.Bool().Draw(t, "remove"))
		}
	}
	var watcher *Copy
	watched := uint64(0)
	restart := func() {
		watcher = &Copy{}
		listed, asOf := s.pages(changeSome)
		watcher.Apply(listed, asOf)
		watched = asOf
	}
	hear := func() {
		watcher.Apply(s.since(watched), s.revision)
		watched = s.revision
	}
	f := &testFollower{items: make(map[string]keyvalue.Item)}
	_, _ = f.poller.take("p/", 0)
	poll := func() {
		r := &Relay{copies: map[string]*Copy{"p/": watcher}}
		news, _ := r.changesFor(&Query{After: maps.Clone(f.poller.cursors)})
		f.poller.buffer(news)
	}
	list := func(items []keyvalue.Change, revision uint64) {
		f.items = make(map[string]keyvalue.Item)
		f.after = 0
		f.apply(items, revision)
	}
	watch := func() {
		polled, ok := f.poller.take("p/", f.after)
		if !ok {
			poll()
			polled, ok = f.poller.take("p/", f.after)
		}
		if !ok {
			return
		}
		if !polled.Behind {
			f.apply(polled.Changes, polled.Revision)
			return
		}
		l, _ := watcher.listing()
		var items []keyvalue.Change
		for _, item := range l.Items {
			items = append(items, keyvalue.Change{Item: item})
		}
		list(items, l.Revision)
	}
	restart()
	list(nil, 0)
	t.Repeat(map[string]func(*rapid.T){
		"change":  func(*rapid.T) { changeSome() },
		"hear":    func(*rapid.T) { hear() },
		"restart": func(*rapid.T) { restart() },
		"poll":    func(*rapid.T) { poll() },
		"watch":   func(*rapid.T) { watch() },
		"read": func(*rapid.T) {
			// The follower reads the service itself, as no watcher answered.
			f.apply(s.since(f.after), s.revision)
		},
	})
	s.change("k0", false)
	hear()
	for range 4 {
		watch()
	}
	if !maps.EqualFunc(f.items, s.items, func(x, y keyvalue.Item) bool { return x.Revision == y.Revision }) {
		t.Fatalf("the follower has %v, the service %v", f.items, s.items)
	}
}

// Guards against changes that a follower misses in any order of polls, answers, restarts of its watcher and
// reads of the service.
func TestFollowerMissesNoChange(t *testing.T) {
	property.Check(t, checkFollower)
}
