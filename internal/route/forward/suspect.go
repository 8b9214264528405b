package forward

import (
	"context"
	"errors"
	"io"

	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/route/catalog"
	"github.com/egretbend/egretbend/internal/route/crash"
)

// runUnlessQuarantined sends the request unless it is quarantined. It reports a request
// that was answered, which clears it of suspicion; a streaming answer is reported when
// its stream ends.
func (t *dispatch) runUnlessQuarantined(ctx context.Context) (*Answer, error) {
	if t.f.Suspects == nil {
		return t.runAttempts(ctx)
	}
	digest := t.req.digest
	t.verdict = t.f.Suspects.Judge(digest)
	if t.verdict.Quarantined() {
		return nil, problem.Quarantined.Withf("%s", t.verdict).WithRetryAfter(t.verdict.RetryAfter)
	}
	answer, err := t.runAttempts(ctx)
	if answer != nil && answer.Stream != nil {
		answer.Stream = &trackedStream{
			ReadCloser: answer.Stream,
			ctx:        ctx,
			t:          t,
		}
		return answer, err
	}
	if answer != nil {
		t.f.Suspects.RecordAnswer(digest)
	}
	return answer, err
}

// reportCut counts and reports an upstream whose connection was lost before the answer
// was complete, as it may have crashed.
func (t *dispatch) reportCut(u *catalog.Upstream) {
	t.cutAttempts++
	if t.f.Crashes == nil {
		return
	}
	t.f.Crashes.ReportCutOff(crash.Cut{
		RequestID:   t.req.ID,
		Incarnation: crash.IncarnationOf(u.ID, u.Incarnation),
		Address:     u.Address,
		Sum:         t.req.digest(),
		At:          t.f.Timer.Now(),
		Consecutive: t.verdict.Crashes + t.cutAttempts,
	})
}

// trackedStream wraps a streaming answer and reports how the stream ends: at its end the
// request is cleared of suspicion, on an error that the caller did not cause the
// upstream may have crashed.
type trackedStream struct {
	io.ReadCloser
	ctx   context.Context
	t     *dispatch
	ended bool
}

// Read implements io.Reader.
func (w *trackedStream) Read(p []byte) (int, error) {
	n, err := w.ReadCloser.Read(p)
	if err == nil || w.ended {
		return n, err
	}
	w.ended = true
	switch {
	case errors.Is(err, io.EOF):
		w.t.f.Suspects.RecordAnswer(w.t.req.digest)
	case w.ctx.Err() == nil:
		w.t.reportCut(w.t.winner)
	}
	return n, err
}
