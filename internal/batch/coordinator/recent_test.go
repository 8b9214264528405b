package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/batch/ledger"
	"github.com/egretbend/egretbend/internal/batch/submission"
	"github.com/egretbend/egretbend/internal/fleet/registry"
	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// Guards against memory that grows with each batch that was ever heard of.
func TestOwnersOfFormerBatchesAreForgotten(t *testing.T) {
	is := is.New(t)
	clock := &timer.Manual{}
	clock.Advance(time.Hour)
	d, _ := newCoordinator(t, nil)
	d.Timer = clock
	d.Registry = &registry.Registry{Timer: clock}
	d.Registry.SetSelf(registry.Member{Name: "me", Incarnation: "1"})
	open := OwnerHint{
		Batch:   "open",
		Owner:   ledger.Owner{Instance: "o", Incarnation: "1"},
		Binding: submission.Binding{Host: "h"},
	}
	d.RecordOwner(open)
	most := 0
	for i := range 86_400 {
		clock.Advance(time.Second)
		hint := open
		hint.Batch = fmt.Sprint("b", i)
		d.RecordOwner(hint)
		_, _ = d.hintedOwner(open.Batch)
		most = max(most, len(d.owners.entries), len(d.bindings.entries))
	}
	is.True(most <= int(2*recentTTL/time.Second))
	owner, known := d.owners.get(open.Batch, clock.Now())
	is.True(known && owner == open.Owner) // it is in use
}
