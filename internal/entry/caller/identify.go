package caller

import (
	"net/http"

	"github.com/egretbend/egretbend/internal/fleet/configuration"
	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/route/organisation"
	"github.com/egretbend/egretbend/internal/route/relay"
)

// Headers that an instance adds to a request that it forwards to another instance.
// They name the organisation on whose behalf the request is made, and prove it.
const (
	headerOrganisation = "Egretbend-Organisation"
	headerVoucher      = "Egretbend-Voucher"
)

// requestIdentity is the organisation on whose behalf a request is made. Its zero value
// belongs to no organisation.
type requestIdentity struct {
	organisation string
	voucher      string
}

// identify returns the organisation on whose behalf a request is made. It removes the
// key from the headers, so that the key is not forwarded to another instance or to a
// service. A request that another instance forwarded is identified by its voucher.
// While no organisations are configured, identify accepts every request and leaves its
// headers unchanged.
func identify(r *http.Request, doc *configuration.Document, requestID string) (requestIdentity, error) {
	directory := doc.Organisations()
	if directory.Empty() {
		return requestIdentity{}, nil
	}
	if r.Header.Get(headerPassedOn) != "" {
		name := r.Header.Get(headerOrganisation)
		org, ok := directory.Verify(name, voucherMessage(r, requestID), r.Header.Get(headerVoucher))
		if !ok {
			return requestIdentity{}, problem.Unauthorized.Withf("no valid voucher for organisation %q", name)
		}
		return requestIdentity{organisation: org.Name}, nil
	}
	key, err := organisation.KeyOf(r.Header)
	if err != nil {
		return requestIdentity{}, problem.Unauthorized.With(err)
	}
	org, ok := directory.Find(key)
	if !ok {
		return requestIdentity{}, problem.Unauthorized.Withf("the key of the request belongs to no organisation")
	}
	r.Header.Del(organisation.Header)
	return requestIdentity{
		organisation: org.Name,
		voucher:      organisation.Sign(key, voucherMessage(r, requestID)),
	}, nil
}

// voucherMessage returns the message that a voucher authenticates. It covers the
// request id, method, URI and ticket, so that a voucher is valid for one request only.
func voucherMessage(r *http.Request, requestID string) string {
	return requestID + " " + r.Method + " " + r.URL.RequestURI() + " " + r.Header.Get(relay.HeaderTicket)
}
