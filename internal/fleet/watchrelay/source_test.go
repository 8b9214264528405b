package watchrelay

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/kernel/journal"
)

// Guards against an instance of which nobody can tell from whom it has what it knows, and when that
// one last heard from the service.
func TestSourceNamesTheWatcherAndWhatItHeard(t *testing.T) {
	is := is.New(t)
	clock, store := newStore(t)
	clock.Advance(time.Hour)
	f, members := newFleet(clock, store, 20)
	follower, asked := f.findFollower(members)
	watcher := f.relays[asked[0].Name]
	watcher.NoteService("p/")
	heard := clock.Now()
	clock.Advance(time.Second)
	watcher.copies["p/"].Apply(putChange("p/a", 7), 7)
	_, _, err := follower.Watch(context.Background(), "p/", 1, time.Minute)
	is.NoErr(err)
	source := follower.Source("p/")
	is.Equal(source.Name, asked[0].Name)
	is.True(source.HeardAt <= heard) // never later than at the watcher
	is.True(heard.Sub(source.HeardAt) < time.Second)
	is.True(source.AnsweredAt.Sub(heard) >= time.Second)
}

// Guards against a failover from watchers to the service that leaves no line, or one for each query.
func TestFailoverIsLoggedOnce(t *testing.T) {
	is := is.New(t)
	clock, store := newStore(t)
	clock.Advance(time.Hour)
	f, members := newFleet(clock, store, 20)
	follower, asked := f.findFollower(members)
	var out bytes.Buffer
	j, err := journal.Open(&out, "info", "i")
	is.NoErr(err)
	follower.Journal = j
	for _, m := range asked {
		f.unreachable[m.Name] = true
	}
	for range 3 {
		_, _, err := follower.Watch(context.Background(), "p/", 1, time.Minute)
		is.NoErr(err)
	}
	is.Equal(follower.Source("p/").Name, ServiceName)
	for _, m := range asked {
		f.unreachable[m.Name] = false
	}
	_, _, err = follower.Watch(context.Background(), "p/", 1, time.Minute)
	is.NoErr(err)
	is.NoErr(j.Flush())
	for line, count := range map[string]int{
		"watcher does not answer":                          len(asked),
		"no watcher answers, the service is read":          1,
		"a watcher answers, the service is no longer read": 1,
	} {
		is.Equal(strings.Count(out.String(), line), count)
	}
}
