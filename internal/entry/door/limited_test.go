package door

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/route/catalog"
)

// Operators bound what clients may send and how long they may be idle. The bounds
// of the configuration in force hold for new connections; one that is open goes
// on under its own.
func TestLimitsOfTheConfigurationInForce(t *testing.T) {
	is := is.New(t)
	config := &catalog.Holder{}
	d := &Limited{
		Config:  config,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }),
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	served := make(chan error, 1)
	go func() { served <- d.Serve(ln) }()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", ln.Addr().String())
		is.NoErr(err)
		is.NoErr(c.SetDeadline(time.Now().Add(10 * time.Second)))
		return c
	}
	ask := func(c net.Conn, header int) (int, error) {
		if _, err := fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: h\r\nX: %s\r\n\r\n", strings.Repeat("x", header)); err != nil {
			return 0, err
		}
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return 0, err
		}
		return res.StatusCode, nil
	}
	before := dial()
	status, err := ask(before, 20_000)
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	config.Take(catalog.Configuration{
		Version: 1,
		Limits: catalog.Limits{
			HeaderBytes:   4_000,
			HeaderTimeout: 100 * time.Millisecond,
			IdleTimeout:   150 * time.Millisecond,
		},
	}.WithIndex())
	status, err = ask(dial(), 20_000)
	is.NoErr(err)
	is.Equal(status, http.StatusRequestHeaderFieldsTooLarge)
	idle := dial()
	status, err = ask(idle, 1)
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	_, err = idle.Read(make([]byte, 1))
	is.True(err != nil) // closed when it was idle for long enough
	slow := dial()
	_, err = slow.Write([]byte("GET / HT"))
	is.NoErr(err)
	res, err := http.ReadResponse(bufio.NewReader(slow), nil)
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusBadRequest) // the rest of the head never came
	status, err = ask(before, 20_000)
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.NoErr(d.Shutdown(context.Background()))
	is.True(errors.Is(<-served, http.ErrServerClosed))
}
