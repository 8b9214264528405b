package listing

import (
	"context"
	"time"

	"github.com/apex/log"
	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/fleet/member"
	"github.com/egretbend/egretbend/internal/kernel/journal"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/roster"
)

// How the platform's list is read.
const (
	// readersPerDomain is how many instances of a failure domain read it.
	readersPerDomain = 2
	readPeriod       = time.Second
	readTimeout      = 2 * time.Second
	// missingReads is how many lists in a row must lack an upstream before it
	// counts as gone.
	missingReads = 5
	// mostMissing is the share of upstreams that one list may lack. A list
	// that lacks more is taken for a fault of the list.
	mostMissing = 0.5
	readerKey   = "listing"
)

// Reader reads the platform's list while this instance is one of its failure
// domain's readers.
type Reader struct {
	Book    *Book
	Source  roster.Source
	Table   *member.Table
	Timer   timer.Service
	Journal *journal.Journal

	missing map[string]int
}

// Run reads until t dies.
func (r *Reader) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	tick := r.Timer.Every(readPeriod)
	defer tick.Close()
	for {
		if r.Table.View().TopInDomain(readerKey, readersPerDomain) {
			r.read(ctx)
		}
		select {
		case <-tick.C:
		case <-t.Dying():
			return nil
		}
	}
}

func (r *Reader) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	list, err := r.Source.List(ctx)
	if err != nil {
		r.Journal.Trouble("instance_list_unreachable", err, nil)
		return
	}
	r.Take(list)
}

// Take compares a list with what is known and tells the differences.
func (r *Reader) Take(list []roster.Instance) {
	present := make(map[string]bool, len(list))
	for _, in := range list {
		present[in.ID] = true
		if r.Book.Seen(in) {
			r.Journal.Event("upstream_listed", log.Fields{
				"upstream": in.ID,
				"leaving":  in.Leaving,
			})
		}
	}
	r.noteMissing(present)
}

func (r *Reader) noteMissing(present map[string]bool) {
	known := r.Book.List()
	var lacking []roster.Instance
	for _, in := range known {
		if !present[in.ID] {
			lacking = append(lacking, in)
		}
	}
	if float64(len(lacking)) > mostMissing*float64(len(known)) {
		return
	}
	next := make(map[string]int)
	for _, in := range lacking {
		next[in.ID] = r.missing[in.ID] + 1
		if next[in.ID] >= missingReads && r.Book.Missing(in) {
			r.Journal.Event("upstream_gone", log.Fields{
				"upstream": in.ID,
			})
		}
	}
	r.missing = next
}
