package ticket

import (
	"fmt"
	"net"
	"strconv"
	"strings"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// Ticket permits one run of one request.
type Ticket struct {
	// Address is the address at which the issuer serves callers.
	Address     string
	Incarnation uint64
	Number      uint64
	// Expires is on the issuer's clock.
	Expires timer.Instant
}

// separator separates the parts of a ticket's text form.
const separator = "/"

// String returns the text form, which callers send.
func (t Ticket) String() string {
	return strings.Join([]string{
		t.Address,
		strconv.FormatUint(t.Incarnation, 36),
		strconv.FormatUint(t.Number, 36),
		strconv.FormatInt(int64(t.Expires), 36),
	}, separator)
}

// Parse parses the text form of a ticket.
func Parse(s string) (Ticket, error) {
	parts := strings.Split(s, separator)
	if len(parts) != 4 {
		return Ticket{}, fmt.Errorf("ticket %q does not have four parts", s)
	}
	host, _, err := net.SplitHostPort(parts[0])
	if err != nil || net.ParseIP(host) == nil {
		return Ticket{}, fmt.Errorf("ticket %q does not begin with an address", s)
	}
	incarnation, err1 := strconv.ParseUint(parts[1], 36, 64)
	number, err2 := strconv.ParseUint(parts[2], 36, 64)
	expires, err3 := strconv.ParseInt(parts[3], 36, 64)
	if err1 != nil || err2 != nil || err3 != nil {
		return Ticket{}, fmt.Errorf("ticket %q has a part that is not a number", s)
	}
	return Ticket{
		Address:     parts[0],
		Incarnation: incarnation,
		Number:      number,
		Expires:     timer.Instant(expires),
	}, nil
}
