package wire

import (
	"bytes"
	"fmt"
	"strings"
	"sync/atomic"

	"github.com/egretbend/egretbend/internal/kernel/answer"
)

var (
	// errNoResponse means that the bytes that the other side sent don't begin a response.
	errNoResponse = fmt.Errorf("%w: it begins with other bytes", answer.ErrInvalid)
	// errOldCoding means that a response of HTTP/1.0 has a coding, of which HTTP/1.0 knows none.
	errOldCoding = fmt.Errorf("%w: a Transfer-Encoding in HTTP/1.0", answer.ErrInvalid)
)

const (
	// responseStart is how every response begins, oldStart how one of HTTP/1.0 does.
	responseStart = "HTTP/1."
	oldStart      = "HTTP/1.0"
)

// headCheck checks what net/http can't tell of a response: bytes that begin none, for whose line end it
// waits, and a coding in HTTP/1.0, which it ignores and takes the framing for the body. Its zero value
// checks nothing.
type headCheck struct {
	// begin is set when the next bytes begin a response.
	begin atomic.Bool
	// old holds the head of a response of HTTP/1.0 as far as it was read; nil if there is none.
	old []byte
}

// check checks the next bytes of the response. Only one goroutine at a time may call it.
func (h *headCheck) check(p []byte) error {
	if h.begin.Swap(false) {
		h.old = nil
		if !strings.HasPrefix(responseStart, string(p[:min(len(p), len(responseStart))])) {
			return errNoResponse
		}
		if bytes.HasPrefix(p, []byte(oldStart)) {
			h.old = make([]byte, 0, len(p))
		}
	}
	if h.old == nil {
		return nil
	}
	h.old = append(h.old, p...)
	head, _, ended := bytes.Cut(bytes.ReplaceAll(h.old, []byte("\r"), nil), []byte("\n\n"))
	if ended || len(h.old) > maxHeaderBytes {
		h.old = nil
	}
	if bytes.Contains(bytes.ToLower(head), []byte("\ntransfer-encoding")) {
		return errOldCoding
	}
	return nil
}
