package wire

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against bytes that the kernel delivers seconds after they were written, as after a
// partition during which the instance was paused and could not reset the connection. The
// upstream reads nothing, and nothing but the delivery timeout ends the request.
func TestDeliveryTimeoutResetsConnection(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	ctx, cancel := context.WithTimeout(WithDeliveryTimeout(context.Background(), 100*time.Millisecond), deliveryTimeout/2)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+ln.Addr().String(), bytes.NewReader(make([]byte, 32<<20)))
	is.NoErr(err)
	var c Client
	defer c.CloseIdle()
	_, sent, err := c.Do(req, Pooled)
	is.True(err != nil)
	is.True(sent)
	is.NoErr(ctx.Err())
}
