package caller

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/fleet/configuration"
	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/route/organisation"
	"github.com/egretbend/egretbend/internal/route/relay"
)

// newConfiguration returns a configuration in which the organisation saddlers has the
// key k1.
func newConfiguration(is *is.I) *configuration.Document {
	doc, err := configuration.Decode(fmt.Appendf(nil, `{"history":[],"configuration":{"format":1,"team":"t","deployments":[],
		"organisations":[{"name":"saddlers","key_digests":[%q],"priority":"training"}]}}`, organisation.DigestOf("k1")), 1)
	is.NoErr(err)
	return doc
}

// Guards against keys that are forwarded to another instance or a service, which may
// log them.
func TestKeyIsReplacedByVoucher(t *testing.T) {
	is := is.New(t)
	doc := newConfiguration(is)
	r := httptest.NewRequest(http.MethodPost, "/v1/services/desk/x", nil)
	r.Header.Set(relay.HeaderTicket, "ticket")
	_, err := identify(r, doc, "7")
	is.True(problem.Is(err, problem.Unauthorized))
	r.Header.Set(organisation.Header, "Bearer k2")
	_, err = identify(r, doc, "7")
	is.True(problem.Is(err, problem.Unauthorized))
	r.Header.Set(organisation.Header, "Bearer k1")
	id, err := identify(r, doc, "7")
	is.NoErr(err)
	is.Equal(id.organisation, "saddlers")
	is.Equal(r.Header.Get(organisation.Header), "")

	// The instance that gets the forwarded request accepts the voucher, for this request
	// only.
	r.Header.Set(headerPassedOn, "gent-a-1")
	r.Header.Set(headerOrganisation, id.organisation)
	r.Header.Set(headerVoucher, id.voucher)
	passed, err := identify(r, doc, "7")
	is.NoErr(err)
	is.Equal(passed.organisation, "saddlers")
	_, err = identify(r, doc, "8")
	is.True(problem.Is(err, problem.Unauthorized))
}

func TestKeyIsOptionalWithoutOrganisations(t *testing.T) {
	is := is.New(t)
	doc, err := configuration.Decode([]byte(`{"history":[],"configuration":{"format":1,"team":"t","deployments":[]}}`), 1)
	is.NoErr(err)
	r := httptest.NewRequest(http.MethodPost, "/v1/services/desk/x", nil)
	r.Header.Set(organisation.Header, "Bearer of the service's own")
	_, err = identify(r, doc, "7")
	is.NoErr(err)
	is.True(r.Header.Get(organisation.Header) != "")
}
