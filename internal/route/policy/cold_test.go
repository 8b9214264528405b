package policy_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/policy"
)

// Guards against a policy that sends to a cold upstream without a permit because all others are
// ejected, and against one that does not ask for a share.
func TestHeldUpstreamIsNeverChosen(t *testing.T) {
	is := is.New(t)
	now := timer.Instant(time.Hour)
	for _, name := range policy.Names() {
		p, err := policy.Find(name)
		is.NoErr(err)
		s := newSet(2, now)
		held, ejected := s.Upstreams[0], s.Upstreams[1]
		held.RecordColdness(time.Second, now, now)
		ejected.Begin()
		ejected.Unreachable(now)
		is.Equal(p.Choose(s, policy.Query{Now: now}).Upstream, ejected)
		is.True(held.ShareWanted())
		ejected.RecordColdness(time.Second, now, now)
		is.True(p.Choose(s, policy.Query{Now: now}).Upstream == nil)
		held.GrantShare(0, now)
		is.Equal(p.Choose(s, policy.Query{Now: now}).Upstream, held)
	}
}
