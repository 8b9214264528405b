package forward

import (
	"context"
	"errors"
	"io"

	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/route/admission"
	"github.com/egretbend/egretbend/internal/route/catalog"
	"github.com/egretbend/egretbend/internal/route/crash"
)

// owed reports whether the request must be served in the end. A reward call belongs to a batch that was
// accepted: it is sent again until it is answered, whatever happened to the upstreams that ran it, and
// is never taken for the cause.
func (d *dispatch) owed() bool { return d.req.Class == admission.Reward }

// mayBePoison reports whether the request may be found to crash the upstreams that run it.
func (d *dispatch) mayBePoison() bool { return d.f.PoisonDetector != nil && !d.owed() }

// runUnlessQuarantined sends the request unless it is quarantined. It reports a request
// that was answered, which clears it of suspicion; a streaming answer is reported when
// its stream ends.
func (d *dispatch) runUnlessQuarantined(ctx context.Context) (*Answer, error) {
	if !d.mayBePoison() {
		return d.runAttempts(ctx)
	}
	digest := d.req.digest
	d.verdict = d.f.PoisonDetector.Judge(digest)
	if d.verdict.Quarantined() {
		return nil, problem.Quarantined.Withf("%s", d.verdict).WithRetryAfter(d.verdict.RetryAfter)
	}
	answer, err := d.runAttempts(ctx)
	if answer != nil && answer.Stream != nil {
		answer.Stream = &trackedStream{
			ReadCloser: answer.Stream,
			ctx:        ctx,
			dispatch:   d,
		}
		return answer, err
	}
	if answer != nil {
		d.f.PoisonDetector.RecordAnswer(digest)
	}
	d.endClaim(answer != nil)
	return answer, err
}

// reportCut counts and reports an upstream whose connection was lost before the answer
// was complete, as it may have crashed.
func (d *dispatch) reportCut(u *catalog.Upstream) {
	if d.owed() {
		return
	}
	d.cutAttempts++
	if d.f.CrashReporter == nil {
		return
	}
	c := crash.Cut{
		RequestID:   d.req.ID,
		Incarnation: crash.IncarnationOf(u.ID, u.Incarnation),
		Address:     u.Address,
		Digest:      d.req.digest(),
		At:          d.f.Timer.Now(),
		Consecutive: d.verdict.Crashes + d.cutAttempts,
	}
	if d.f.CrashClaims != nil {
		c.OnResult = d.claims.expectResult()
	}
	d.f.CrashReporter.ReportCutOff(c)
}

// trackedStream wraps a streaming answer and reports how the stream ends: at its end the
// request is cleared of suspicion, on an error that the caller did not cause the
// upstream may have crashed.
type trackedStream struct {
	io.ReadCloser
	ctx      context.Context
	dispatch *dispatch
	ended    bool
}

// Read implements io.Reader.
func (s *trackedStream) Read(p []byte) (int, error) {
	n, err := s.ReadCloser.Read(p)
	if err == nil || s.ended {
		return n, err
	}
	s.ended = true
	switch {
	case errors.Is(err, io.EOF):
		s.dispatch.f.PoisonDetector.RecordAnswer(s.dispatch.req.digest)
	case s.ctx.Err() == nil:
		s.dispatch.reportCut(s.dispatch.winner)
	}
	s.dispatch.endClaim(errors.Is(err, io.EOF))
	return n, err
}

// Close implements io.Closer. A stream that the caller leaves ends its claim, too.
func (s *trackedStream) Close() error {
	if !s.ended {
		s.ended = true
		s.dispatch.endClaim(false)
	}
	return s.ReadCloser.Close()
}
