package answer

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// ErrInvalid means that the upstream sent something that is not a valid final response.
var ErrInvalid = errors.New("the head of the response is invalid")

// maxStatus is the highest status code of HTTP.
const maxStatus = 599

// Check returns an error that wraps ErrInvalid if the head of a response is not that of a valid final
// response.
func Check(res *http.Response) error {
	// The client asks for no other protocol, so that 101 is invalid as well.
	if res.StatusCode < http.StatusOK || res.StatusCode > maxStatus {
		return fmt.Errorf("%w: status %03d", ErrInvalid, res.StatusCode)
	}
	if res.StatusCode == http.StatusNoContent && hasContent(res) {
		return fmt.Errorf("%w: status %d with content", ErrInvalid, res.StatusCode)
	}
	for name := range res.Header {
		// The standard library rejects all other bytes that a name must not have. A field that it
		// keeps under such a name may be the length or the coding of the body.
		if strings.Contains(name, " ") {
			return fmt.Errorf("%w: a blank in the field name %.80q", ErrInvalid, name)
		}
	}
	return nil
}

// hasContent reports whether the head announces a body.
func hasContent(res *http.Response) bool {
	length := res.Header.Get("Content-Length")
	return len(res.TransferEncoding) > 0 || length != "" && length != "0"
}
