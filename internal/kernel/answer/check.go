package answer

import (
	"errors"
	"fmt"
	"net/http"
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
	return nil
}
