package coordinator

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/batch/submission"
	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/route/catalog"
	"github.com/egretbend/egretbend/internal/route/organisation"
)

// Guards against a batch that nobody can read or end, or that another organisation can: it may have been
// submitted with a key or without one, and be asked for with another key, without one, or after the
// first organisations were configured.
func TestBatchIsFoundByItsSubmitter(t *testing.T) {
	ctx := context.Background()
	for _, c := range []struct {
		name              string
		submitter, caller string
		noOrganisations   bool
		want              *problem.Kind
	}{
		{name: "own batch", submitter: "org-a", caller: "org-a"},
		{name: "another organisation", submitter: "org-a", caller: "org-b", want: &problem.NotFound},
		{name: "a key is missing", submitter: "org-a", want: &problem.Unauthorized},
		{name: "without a key"},
		{name: "submitted without a key", caller: "org-a"},
		{name: "without organisations", noOrganisations: true},
		{name: "the organisations are gone", submitter: "org-a", noOrganisations: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d, _ := newCoordinator(t, nil)
			var orgs []organisation.Organisation
			if !c.noOrganisations {
				orgs = []organisation.Organisation{{Name: "org-a"}, {Name: "org-b"}}
			}
			d.Config.Update(catalog.Configuration{
				Version:       1,
				Organisations: organisation.NewDirectory(orgs),
			}.WithIndex())
			_, err := d.Ledger.Accept(ctx, &submission.Submission{
				ID:           submission.ScopedID("b", c.submitter),
				Organisation: c.submitter,
				Items:        []submission.Item{{ID: "x", Path: "/x", Body: []byte("bx")}},
			})
			is.NoErr(err)
			check := func(err error) {
				t.Helper()
				if c.want == nil {
					is.NoErr(err)
				} else {
					is.True(problem.Is(err, *c.want))
				}
			}
			caller := d.For(c.caller)
			page, err := caller.Read(ctx, "b", 0, 0)
			check(err)
			is.Equal(page.Total == 1, c.want == nil)
			body, err := caller.Body(ctx, "b", "x")
			check(err)
			is.Equal(string(body) == "bx", c.want == nil)
			check(caller.End(ctx, "b"))
			check(caller.End(ctx, "b"))
		})
	}
}

// Guards against a batch of an organisation that is hidden by one with the same ID that was submitted
// without a key.
func TestOwnBatchIsLookedForFirst(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	d, _ := newCoordinator(t, nil)
	for _, org := range []string{"", "org-a"} {
		_, err := d.Ledger.Accept(ctx, &submission.Submission{
			ID:           submission.ScopedID("b", org),
			Organisation: org,
			Items:        []submission.Item{{ID: "x", Path: "/x", Body: []byte("of " + org)}},
		})
		is.NoErr(err)
	}
	body, err := d.For("org-a").Body(ctx, "b", "x")
	is.NoErr(err)
	is.Equal(string(body), "of org-a")
	body, err = d.For("").Body(ctx, "b", "x")
	is.NoErr(err)
	is.Equal(string(body), "of ")
}

// Guards against a batch that is shown to another organisation's callers once keys tell them apart no
// longer.
func TestEqualIDsOfFormerOrganisationsAreNotFound(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	d, _ := newCoordinator(t, nil)
	for _, org := range []string{"org-b", "org-a"} {
		_, err := d.Ledger.Accept(ctx, &submission.Submission{
			ID:           submission.ScopedID("b", org),
			Organisation: org,
			Items:        []submission.Item{{ID: "x", Path: "/x"}},
		})
		is.NoErr(err)
	}
	_, err := d.For("").Read(ctx, "b", 0, 0)
	is.True(problem.Is(err, problem.NotFound))
}
