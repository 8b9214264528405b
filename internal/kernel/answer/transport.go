package answer

import (
	"net/http"
)

// Transport is a http.RoundTripper that returns only responses whose head is valid.
type Transport struct {
	// Base sends the requests; nil means http.DefaultTransport.
	Base http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	res, err := t.base().RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := Check(res); err != nil {
		_ = res.Body.Close()
		// The connection is idle already if the response seems to have no body.
		t.CloseIdleConnections()
		return nil, err
	}
	return res, nil
}

// CloseIdleConnections closes the connections that are not in use.
func (t Transport) CloseIdleConnections() {
	if c, ok := t.base().(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

func (t Transport) base() http.RoundTripper {
	if t.Base == nil {
		return http.DefaultTransport
	}
	return t.Base
}
