package relay

import (
	"testing"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/route/wire"
)

// An upstream that is full refuses before it looks at the request, and so does
// not name the attempt. On a connection of its own the refusal can only be for
// this request; a caller who is told "unknown" instead would have to check at
// the service. On a shared connection it may be a late answer to another one.
func TestAnswerBelongsByEchoOrOwnConnection(t *testing.T) {
	is := is.New(t)
	is.True(belongs("", "r.1", true, wire.Fresh))
	is.True(!belongs("", "r.1", true, wire.Shared))
	is.True(belongs("", "r.1", false, wire.Fresh))
	is.True(belongs("r.1", "r.1", true, wire.Shared))
	is.True(!belongs("r.2", "r.1", true, wire.Fresh))
	is.True(!belongs("r.2", "r.1", false, wire.Fresh))
}
