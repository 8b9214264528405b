package wire

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/kernel/answer"
)

// Guards against a connection that carries another request after a response whose head is invalid,
// and against one that is reported as not sent. The response seems to have no body, so that its
// connection counts as idle at once.
func TestInvalidHeadEndsItsConnection(t *testing.T) {
	is := is.New(t)
	for _, head := range []string{"HTTP/1.1 000 X\r\n", "HTTP/1.1 200 OK\r\nX Y: 1\r\n", "HTTP/1.1 204 X\r\nTransfer-Encoding: chunked\r\n"} {
		for _, secure := range []bool{false, true} {
			var opened atomic.Int32
			s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				nc, _, err := w.(http.Hijacker).Hijack()
				if err == nil {
					_, _ = io.WriteString(nc, head+"Content-Length: 0\r\n\r\n") // and it stays open
				}
			}))
			s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
				if state == http.StateNew {
					opened.Add(1)
				}
			}
			c := &Client{}
			if secure {
				s.StartTLS()
				c.TLS = s.Client().Transport.(*http.Transport).TLSClientConfig
			} else {
				s.Start()
			}
			for n := range int32(3) {
				req, err := http.NewRequest(http.MethodGet, s.URL, nil)
				is.NoErr(err)
				_, sent, err := c.Do(req, Pooled)
				t.Log(secure, err)
				is.True(errors.Is(err, answer.ErrInvalid))
				is.True(sent)
				is.Equal(opened.Load(), n+1)
			}
			c.CloseIdle()
			s.Close()
		}
	}
}
