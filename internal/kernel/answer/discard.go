package answer

import (
	"context"
	"io"
	"net/http"
	"time"
)

// The limits of a body that is not needed. Beyond them it is cheaper to open another connection.
const (
	maxDiscardBytes = 64 << 10
	discardTimeout  = 20 * time.Millisecond
)

// Discard reads the rest of a response whose body is not needed, so that its connection can be used
// again, and closes the body. If the body does not end soon, the connection is closed and res.Close is
// set.
func Discard(res *http.Response) {
	defer res.Body.Close()
	if res.Body == http.NoBody {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), discardTimeout)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = res.Body.Close() })
	defer stop()
	n, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxDiscardBytes))
	if err != nil || n == maxDiscardBytes {
		res.Close = true
	}
}
