package watchrelay

import (
	"testing"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/outside/keyvalue"
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
