package caller

import (
	"net/http"

	"github.com/egretbend/egretbend/internal/fleet/configuration"
	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/route/organisation"
	"github.com/egretbend/egretbend/internal/route/relay"
)

// The headers by which an instance that passes a request on says whose it is.
const (
	headerOrganisation = "Egretbend-Organisation"
	headerVoucher      = "Egretbend-Voucher"
)

// identity is on whose behalf a request is made. Its zero value is nobody's.
type identity struct {
	organisation string
	voucher      string
}

// identify returns on whose behalf a request is made. Its key ends here: the headers
// no longer have it.
func identify(r *http.Request, doc *configuration.Document, requestID string) (identity, error) {
	directory := doc.Organisations()
	if directory.Empty() {
		return identity{}, nil
	}
	if r.Header.Get(headerPassedOn) != "" {
		name := r.Header.Get(headerOrganisation)
		org, ok := directory.Vouched(name, vouchedFor(r, requestID), r.Header.Get(headerVoucher))
		if !ok {
			return identity{}, problem.Unauthorized.Withf("nothing vouches for organisation %q", name)
		}
		return identity{organisation: org.Name}, nil
	}
	key, err := organisation.KeyOf(r.Header)
	if err != nil {
		return identity{}, problem.Unauthorized.With(err)
	}
	org, ok := directory.Find(key)
	if !ok {
		return identity{}, problem.Unauthorized.Withf("no organisation holds the key of the request")
	}
	r.Header.Del(organisation.Header)
	return identity{
		organisation: org.Name,
		voucher:      organisation.Vouch(key, vouchedFor(r, requestID)),
	}, nil
}

// vouchedFor is what a voucher is about: this request, under this ticket.
func vouchedFor(r *http.Request, requestID string) string {
	return requestID + " " + r.Method + " " + r.URL.RequestURI() + " " + r.Header.Get(relay.HeaderTicket)
}
