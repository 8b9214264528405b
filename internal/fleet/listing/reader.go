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

// Limits of reading the platform's list.
const (
	// readersPerDomain is the number of instances in each failure domain that read the
	// list.
	readersPerDomain = 2
	readInterval     = time.Second
	readTimeout      = 2 * time.Second
	// missesUntilGone is the number of consecutive lists that must lack an upstream
	// before it counts as gone.
	missesUntilGone = 5
	// maxMissingShare is the largest share of the known upstreams that a list may lack.
	// A list that lacks more is considered faulty, and its gaps are ignored.
	maxMissingShare = 0.5
	// readerHashKey is the rendezvous hash key that selects the readers.
	readerHashKey = "listing"
)

// Reader reads the platform's list while this instance is one of the readers of its
// failure domain.
type Reader struct {
	Book    *Table
	Source  roster.Source
	Table   *member.Table
	Timer   timer.Service
	Journal *journal.Journal

	// misses counts for each upstream the consecutive lists that lacked it.
	misses map[string]int
}

// Run reads the list every readInterval while this instance is a reader, until t dies.
func (r *Reader) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	tick := r.Timer.Every(readInterval)
	defer tick.Close()
	for {
		if r.Table.View().TopInDomain(readerHashKey, readersPerDomain) {
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
		r.Journal.Warn("instance_list_unreachable", err, nil)
		return
	}
	r.Apply(list)
}

// Apply compares a list with the known upstreams and records the differences.
func (r *Reader) Apply(list []roster.Instance) {
	present := make(map[string]bool, len(list))
	for _, in := range list {
		present[in.ID] = true
		if r.Book.Upsert(in) {
			r.Journal.Info("upstream_listed", log.Fields{
				"upstream": in.ID,
				"leaving":  in.Leaving,
			})
		}
	}
	r.countMisses(present)
}

// countMisses counts the known upstreams that are not present, and records those as
// gone that missesUntilGone lists in a row lacked.
func (r *Reader) countMisses(present map[string]bool) {
	known := r.Book.List()
	var missing []roster.Instance
	for _, in := range known {
		if !present[in.ID] {
			missing = append(missing, in)
		}
	}
	if float64(len(missing)) > maxMissingShare*float64(len(known)) {
		return
	}
	next := make(map[string]int)
	for _, in := range missing {
		next[in.ID] = r.misses[in.ID] + 1
		if next[in.ID] >= missesUntilGone && r.Book.MarkGone(in) {
			r.Journal.Info("upstream_gone", log.Fields{
				"upstream": in.ID,
			})
		}
	}
	r.misses = next
}
