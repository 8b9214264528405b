package forward

import (
	"context"
	"errors"
	"io"

	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/route/catalog"
	"github.com/egretbend/egretbend/internal/route/crash"
)

// judged runs the trip unless upstreams are known to end under its request.
func (t *trip) judged(ctx context.Context) (*Answer, error) {
	if t.f.Suspects == nil {
		return t.run(ctx)
	}
	sum := t.req.sum
	t.verdict = t.f.Suspects.Judge(sum)
	if t.verdict.Refused() {
		return nil, problem.Quarantined.Withf("%s", t.verdict).WithRetryAfter(t.verdict.RetryAfter)
	}
	answer, err := t.run(ctx)
	if answer != nil && answer.Stream != nil {
		answer.Stream = &watched{
			ReadCloser: answer.Stream,
			ctx:        ctx,
			t:          t,
		}
		return answer, err
	}
	if answer != nil {
		t.f.Suspects.Answered(sum)
	}
	return answer, err
}

// cutOff notes that an upstream was lost before its answer was whole.
func (t *trip) cutOff(u *catalog.Upstream) {
	t.cut++
	if t.f.Crashes == nil {
		return
	}
	t.f.Crashes.Cut(crash.Cut{
		RequestID:   t.req.ID,
		Incarnation: crash.IncarnationOf(u.ID, u.Incarnation),
		Address:     u.Address,
		Sum:         t.req.sum(),
		At:          t.f.Timer.Now(),
		Row:         t.verdict.Crashes + t.cut,
	})
}

// watched is a streaming answer, of which it is seen how it ends.
type watched struct {
	io.ReadCloser
	ctx   context.Context
	t     *trip
	ended bool
}

// Read implements io.Reader.
func (w *watched) Read(p []byte) (int, error) {
	n, err := w.ReadCloser.Read(p)
	if err == nil || w.ended {
		return n, err
	}
	w.ended = true
	switch {
	case errors.Is(err, io.EOF):
		w.t.f.Suspects.Answered(w.t.req.sum)
	case w.ctx.Err() == nil:
		w.t.cutOff(w.t.winner)
	}
	return n, err
}
