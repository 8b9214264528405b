package forward

import (
	"context"
	"errors"
	"net/http"
	"strings"

	"github.com/egretbend/egretbend/internal/outside/engine"
)

// outcomeOf returns the keyword for the outcome of an attempt in logs and metrics.
func outcomeOf(r attemptResult) string {
	var refused *engine.RefusedError
	switch {
	case r.err == nil && r.answer.Status < http.StatusInternalServerError:
		return "answered"
	case r.err == nil:
		return "failed"
	case errors.Is(r.err, engine.ErrMisdirected):
		return "misdirected"
	case errors.As(r.err, &refused):
		return "refused"
	case errors.Is(r.err, engine.ErrWithdrawn):
		return "withdrawn"
	case errors.Is(r.err, engine.ErrNotSent):
		return "not_sent"
	case errors.Is(r.err, engine.ErrConnectionLost):
		return "cut"
	case errors.Is(r.err, context.Canceled):
		return "cancelled"
	}
	return "broken"
}

// attemptHistory lists the upstreams the request was sent to, each with the outcome of
// its attempt.
func (d *dispatch) attemptHistory() string {
	var b strings.Builder
	for i, u := range d.tried[:d.sent] {
		if i > 0 {
			b.WriteString(", ")
		}
		b.WriteString(u.ID)
		b.WriteByte(' ')
		if d.outcomes[i] == "" {
			b.WriteString("at_work")
			continue
		}
		b.WriteString(d.outcomes[i])
	}
	return b.String()
}
