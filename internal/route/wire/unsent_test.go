package wire

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// Guards against the bytes of a request that wait on its connection and are delivered long after
// nothing may be sent to the upstream any more, and against the reset of a request that the
// upstream has received and answers later.
func TestResetUnsent(t *testing.T) {
	is := is.New(t)
	for _, size := range []int{64 << 20, 1 << 20, 1 << 10} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		defer ln.Close()
		accepted := make(chan net.Conn, 1)
		go func() {
			nc, err := ln.Accept() // it reads nothing, so the window of the connection fills
			if err == nil {
				accepted <- nc
			}
		}()
		var c Client
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		ended := make(chan bool, 1)
		go func() {
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+ln.Addr().String(), bytes.NewReader(make([]byte, size)))
			if err == nil {
				_, sent, _ := c.Do(req, Pooled)
				ended <- sent
			}
		}()
		nc := <-accepted
		defer nc.Close()
		waits := size > 1<<10
		timer.Wait(timer.Real{}, 100*time.Millisecond, nil) // the bytes fill the window, or are received
		is.Equal(c.ResetUnsent(map[string]bool{"another": true}), 0)
		is.Equal(c.ResetUnsent(map[string]bool{ln.Addr().String(): true}) == 1, waits)
		if waits {
			is.True(<-ended) // it may have run
		}
		is.Equal(len(ended), 0)
	}
}
