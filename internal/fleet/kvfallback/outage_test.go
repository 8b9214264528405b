package kvfallback

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// answers are the answers of other instances by address; others don't answer.
type answers map[string]Reply

// Call implements Peers.
func (a answers) Call(_ context.Context, address string, _ Call) (Reply, error) {
	if r, ok := a[address]; ok {
		return r, nil
	}
	return Reply{}, errors.New("no answer")
}

// Guards against an instance that takes its own partition for an outage of the service, and
// goes on with batches that others end meanwhile; and against one that stops during an outage
// since a single other instance is lost.
func TestOutageIsConfirmedByAllDomains(t *testing.T) {
	is := is.New(t)
	down, works := Reply{Failure: FailureDown, DownForMS: 300}, Reply{Failure: FailureNotFound}
	for _, c := range []struct {
		name    string
		answers answers
		down    bool
	}{
		{"partitioned", answers{}, false},
		{"one domain is partitioned as well", answers{"a1": down, "a2": down}, false},
		{"another instance reaches it", answers{"a1": down, "a2": works, "b1": down}, false},
		{"outage", answers{"a1": down, "a2": {Failure: FailureDown, DownForMS: 100}, "b1": down}, true},
	} {
		clock := &timer.Manual{}
		clock.Advance(time.Minute)
		o := &Outage{
			Peers:   c.answers,
			Domains: func() [][]string { return [][]string{{"a1", "a2"}, {"b1", "b2"}} },
			Timer:   clock,
		}
		until, ok := o.Confirmed(context.Background())
		t.Log(c.name)
		is.Equal(ok, c.down)
		if ok {
			is.Equal(clock.Now().Sub(until), 300*time.Millisecond) // the older evidence counts
		}
	}
}
