package relay

import (
	"testing"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/route/wire"
)

// Guards against a refusal that is rejected as an answer to another request, which
// would tell the caller "unknown" so that it had to check at the service. A full
// upstream refuses before it reads the request and so can't name the attempt. On a
// fresh connection the refusal can only be for this request; on a pooled one it may be
// a late answer to another request.
func TestAnswerMatchesAttemptByEchoOrFreshConnection(t *testing.T) {
	is := is.New(t)
	is.True(matchesAttempt("", "r.1", true, wire.Fresh))
	is.True(!matchesAttempt("", "r.1", true, wire.Pooled))
	is.True(matchesAttempt("", "r.1", false, wire.Fresh))
	is.True(matchesAttempt("r.1", "r.1", true, wire.Pooled))
	is.True(!matchesAttempt("r.2", "r.1", true, wire.Fresh))
	is.True(!matchesAttempt("r.2", "r.1", false, wire.Fresh))
}
